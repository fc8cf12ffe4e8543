"""The users' platform: its names, formats and calls, decoded into the project's types."""

from guavawalk.lazy import attach_exports

_EXPORTS = {
    "configuration": ["decode_configuration"],
    "registrations": ["REGISTRATION_PREFIX", "decode_registration"],
    "requests": [
        "decode_answer",
        "decode_call",
        "encode_target_headers",
        "encode_retry_after",
        "encode_status",
        "is_misdirected",
    ],
    "settings": ["READINESS_PATH", "settings_path"],
    "store": ["create_store"],
}

__getattr__, __dir__, __all__ = attach_exports(__name__, _EXPORTS)
