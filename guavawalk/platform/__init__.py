"""Adapter to the hosting platform: decodes its configuration, registrations and HTTP headers."""

from guavawalk.lazy import attach_exports

_EXPORTS = {
    "configuration": ["decode_configuration"],
    "registrations": ["REGISTRATION_PREFIX", "decode_registration"],
    "requests": [
        "decode_answer",
        "decode_call",
        "decode_caller",
        "encode_retry_after",
        "encode_status",
        "encode_target_headers",
        "is_misdirected",
    ],
    "settings": ["READINESS_PATH", "settings_path"],
    "store": ["create_store"],
}

__getattr__, __dir__, __all__ = attach_exports(__name__, _EXPORTS)
