"""Values and decisions whose life span is one request."""

from guavawalk.lazy import attach_exports

_EXPORTS = {
    "admission": ["admit_call", "refusal_of_caller"],
    "affinity": ["AFFINITY_LEVELS", "affinity_key", "affinity_order", "affinity_tokens"],
    "answer": ["Answer", "create_answer"],
    "attempt": ["Attempt", "AttemptState", "create_attempt"],
    "call": ["Call", "CallFields", "PromptPart", "SharedPart"],
    "cost": ["OUTPUT_TOKEN_COST", "offer_cost_tokens"],
    "engine_time": ["nominal_event_gap_s", "nominal_first_event_s", "nominal_prefill_s"],
    "event_stream": ["EVENT_END", "MAX_EVENT_BYTES", "EventStream"],
    "expected_cost": [
        "CostEstimate",
        "ExpectedCost",
        "create_expected_cost",
        "estimate_cost",
        "is_long",
    ],
    "explain": ["Explanation", "explain_placement"],
    "placement": [
        "Candidate",
        "Placement",
        "TargetViews",
        "capable_targets",
        "create_least_reported_load",
        "create_random_of_two",
        "create_round_robin",
        "group_of",
    ],
    "policies": ["DEFAULT_PLACEMENT", "PLACEMENTS", "create_placement"],
    "prompt": [
        "BLOCK_CHARS",
        "CHARS_PER_TOKEN",
        "estimate_tokens",
        "fingerprint",
        "prefix_hashes",
        "shared_messages",
    ],
    "repeat": ["AttemptEnd", "AttemptResult", "NextStep", "StepKind", "decide_next", "may_repeat"],
    "rules": ["find_model", "find_service", "find_tier"],
    "silence": ["answer_silence_limit_s", "stream_silence_limit_s"],
    "target_answer": ["AnswerFields"],
    "target_choice": [
        "TargetChoice",
        "TargetSnapshot",
        "choose_target",
        "expected_first_event_s",
        "unfinished_share",
    ],
    "target_view": ["StaticViews", "TargetView"],
    "ticket": ["TICKET_PREFIX", "TicketFields", "read_ticket", "refusal_code"],
    "types": ["LoadReport", "Offer", "Outcome", "Usage", "Work"],
    "waste": ["Prefill", "Waste", "WasteCause", "waste_of"],
}

__getattr__, __dir__, __all__ = attach_exports(__name__, _EXPORTS)
