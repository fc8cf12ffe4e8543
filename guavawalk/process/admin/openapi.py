"""Generates the OpenAPI description of the administration API from its document types."""

from collections.abc import Iterable
from typing import Any

import msgspec

from guavawalk.connection.http_answer import ErrorBody
from guavawalk.process.admin.operations import Operation

__all__ = ["describe_api"]

REFERENCE = "#/components/schemas/{name}"
OPENAPI_VERSION = "3.1.0"
API_VERSION = "1"


def describe_api(operations: Iterable[Operation], title: str) -> dict[str, Any]:
    """Return the OpenAPI document that describes operations."""
    operations = tuple(operations)
    kinds = [kind for o in operations for kind in (o.answer, o.body) if kind is not None]
    kinds = list(dict.fromkeys([*kinds, ErrorBody]))
    schemas, components = msgspec.json.schema_components(kinds, ref_template=REFERENCE)
    schema_of = dict(zip(kinds, schemas))
    paths: dict[str, Any] = {}
    for operation in operations:
        described = _describe(operation, schema_of)
        paths.setdefault(operation.path, {})[operation.method.lower()] = described
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": title, "version": API_VERSION},
        "security": [{"key": []}],
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
        },
    }


def _describe(operation: Operation, schema_of: dict[type, Any]) -> dict[str, Any]:
    described: dict[str, Any] = {
        "operationId": operation.name,
        "summary": operation.summary,
        "description": f"Needs a key of role {operation.required_role}.",
        "responses": {
            "200": _content("Done", schema_of[operation.answer]),
            "default": _content("Refused, with a numbered code", schema_of[ErrorBody]),
        },
    }
    if operation.body is not None:
        body = _content("", schema_of[operation.body])
        described["requestBody"] = {"required": True, "content": body["content"]}
    return described


def _content(description: str, schema: Any) -> dict[str, Any]:
    return {"description": description, "content": {"application/json": {"schema": schema}}}
