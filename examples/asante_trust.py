"""Configuration of the Asante Baskets for Schools Trust: four data centres, ten engines, a ledger.

guavawalk config check examples/asante_trust.py
guavawalk config render examples/asante_trust.py --version 1 --out published
"""

from itertools import combinations

from guavawalk.version.authoring import create_draft

draft = create_draft()

# Tiers, in order of urgency, the most urgent first.
question = draft.add_tier("question", deadline_ms=10_000, first_token_ms=800, reserved_share=0.2)
sponsor = draft.add_tier("sponsor", deadline_ms=30_000, first_token_ms=3_000)
report = draft.add_tier("report", deadline_ms=300_000, first_token_ms=20_000)

centres = [
    draft.add_data_centre(name, region="ashanti")
    for name in ("kumasi", "obuasi", "mampong", "konongo")
]
for one, other in combinations(centres, 2):
    draft.add_crossing(one, other, delay_ms=4.0, price=3.0)

older = draft.add_generation(
    "gen-a",
    prefill_tokens_per_s=3_000,
    decode_tokens_per_s=90,
    batch_slots=8,
    cache_tokens=48_000,
)
newer = draft.add_generation(
    "gen-b",
    prefill_tokens_per_s=9_000,
    decode_tokens_per_s=180,
    batch_slots=16,
    cache_tokens=128_000,
)

kente = draft.add_model("kente", context_tokens=131_072, expected_output_tokens=300)
adinkra = draft.add_model("adinkra", context_tokens=32_768, expected_output_tokens=120)
ledger = draft.add_service("ledger", idempotent_methods=("GET", "HEAD"), deadline_ms=15_000)

for index in range(10):
    draft.add_engine(
        f"engine-{index}",
        centres[index % len(centres)],
        f"127.0.0.1:{7300 + index}",
        newer if index < 4 else older,
        models=[kente, adinkra] if index % 2 else [kente],
        checks_fencing=index < 4,
    )
for index, centre in enumerate(centres):
    draft.add_service_target(f"ledger-{index}", centre, f"127.0.0.1:{7400 + index}", ledger)

# Keys in plain text are for trials on one machine; in production, give their digests instead.
for name, weight in (
    ("weavers", 3.0),
    ("sponsors", 2.0),
    ("reports", 1.0),
    ("schools", 1.0),
    ("accounts", 1.0),
):
    draft.add_workspace(
        name,
        tiers=[question, sponsor, report],
        default_tier=sponsor,
        models=[kente, adinkra],
        services=[ledger],
        keys=[f"key-{name}"],
        weight=weight,
        prompt_tokens_per_s=20_000,
        long_requests=4,
    )
