"""Configuration of Kestrel Lane Software: three data centres, five engines, three booking servers.

guavawalk config check examples/kestrel_lane.py
guavawalk config render examples/kestrel_lane.py --version 1 --out published
"""

from itertools import combinations

from guavawalk.version.authoring import create_draft

draft = create_draft()

# Tiers, in order of urgency, the most urgent first.
onsite = draft.add_tier("onsite", deadline_ms=10_000, first_token_ms=1_000, reserved_share=0.2)
plan = draft.add_tier("plan", deadline_ms=120_000, first_token_ms=10_000)
tag = draft.add_tier("tag", deadline_ms=30_000, first_token_ms=10_000)

centres = [
    draft.add_data_centre(name, region="coast") for name in ("victoria", "nanaimo", "vancouver")
]
for one, other in combinations(centres, 2):
    draft.add_crossing(one, other, delay_ms=3.0, price=1.0)

older = draft.add_generation(
    "gen-a",
    prefill_tokens_per_s=4_000,
    decode_tokens_per_s=120,
    batch_slots=8,
    cache_tokens=64_000,
)
newer = draft.add_generation(
    "gen-b",
    prefill_tokens_per_s=12_000,
    decode_tokens_per_s=240,
    batch_slots=16,
    cache_tokens=128_000,
)

quill = draft.add_model("quill", context_tokens=131_072, expected_output_tokens=256)
booking = draft.add_service("booking", deadline_ms=10_000)

for index in range(5):
    draft.add_engine(
        f"engine-{index}",
        centres[index % len(centres)],
        f"127.0.0.1:{7100 + index}",
        newer if index % 2 else older,
        models=[quill],
        # Engines of the newer generation refuse an order with an old fencing number.
        checks_fencing=bool(index % 2),
    )
for index, centre in enumerate(centres):
    draft.add_service_target(f"booking-{index}", centre, f"127.0.0.1:{7200 + index}", booking)

# Keys in plain text are for trials on one machine; in production, give their digests instead.
for name, requests_per_s in (
    ("heritage", 20.0),
    ("harbour", 20.0),
    ("lamplight", 10.0),
    ("westcoast", 5.0),
    ("council", 5.0),
):
    draft.add_workspace(
        name,
        tiers=[onsite, plan, tag],
        default_tier=plan,
        models=[quill],
        services=[booking],
        keys=[f"key-{name}"],
        requests_per_s=requests_per_s,
        long_requests=8,
    )
