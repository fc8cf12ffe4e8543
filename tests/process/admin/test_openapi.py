"""Tests the OpenAPI description against the operations and document types."""

import json

from guavawalk.process.admin.openapi import describe_api
from guavawalk.process.admin.operations import OPERATIONS


def references(part) -> set[str]:
    if isinstance(part, dict):
        own = {part["$ref"]} if "$ref" in part else set()
        return own.union(*map(references, part.values()))
    return set().union(*map(references, part)) if isinstance(part, list) else set()


class TestDescription:
    def test_every_operation_is_described(self):
        paths = describe_api(OPERATIONS, "test")["paths"]
        found = {(m.upper(), path) for path, methods in paths.items() for m in methods}
        assert found == {(operation.method, operation.path) for operation in OPERATIONS}

    def test_every_reference_leads_to_a_schema(self):
        description = json.loads(json.dumps(describe_api(OPERATIONS, "test")))
        schemas = description["components"]["schemas"]
        prefix = "#/components/schemas/"
        assert {ref.removeprefix(prefix) for ref in references(description)} <= set(schemas)

    def test_fields_are_those_of_the_documents(self):
        schemas = describe_api(OPERATIONS, "test")["components"]["schemas"]
        for operation in OPERATIONS:
            schema = schemas[operation.answer.__name__]
            assert set(schema["properties"]) == set(operation.answer.__annotations__)
        assert "class" in schemas["ErrorDocument"]["properties"]
