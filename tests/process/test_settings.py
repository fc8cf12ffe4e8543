"""Tests which settings files are accepted, and the errors for those that are not."""

from pathlib import Path
from typing import get_type_hints

import pytest

from guavawalk.exception import SettingsError
from guavawalk.process.settings import EntrySettings, SidecarSettings, read_role, read_settings
from guavawalk.tools.commands.app import app

EXAMPLES = Path(__file__).parents[2] / "examples" / "settings"
DIGEST = "d" * 64

ENTRY = """{
  // identity of this instance
  role: "entry", instance: "entry-1", data_centre: "victoria",
  listen: "127.0.0.1:7000", platform_url: "http://127.0.0.1:7100",
  fleet_secret: "s3cret", statsd: {host: "127.0.0.1"}, %s
}"""


def write(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    return path


class TestReading:
    def test_comments_and_nested_fields_are_read(self, tmp_path):
        settings = read_settings(write(tmp_path, ENTRY % ""), EntrySettings)
        assert settings.instance == "entry-1"
        assert settings.statsd.host == "127.0.0.1"
        assert settings.statsd.port == 8125

    def test_role_is_read(self, tmp_path):
        assert read_role(write(tmp_path, ENTRY % "")) == "entry"


class TestRefusal:
    @pytest.mark.parametrize(
        ("extra", "path", "words"),
        [
            ("bogus: 1", "$.bogus", "unknown field"),
            ("statsd: {hots: 1}", "$.statsd.hots", "unknown field"),
            ("statsd: 3", "$.statsd", "found int, allowed is an object"),
            ("body_limit_bytes: 'x'", "$.body_limit_bytes", "found 'x'"),
            ("body_limit_bytes: 0", "$.body_limit_bytes", "allowed is 1 or more"),
            ("listen: 'nowhere'", "$.listen", "allowed is IP:port"),
            ("listen: '127.0.0.1:99999'", "$.listen", "allowed is IP:port"),
            ("log_level: 'LOUD'", "$.log_level", "DEBUG, INFO"),
            ("fleet_secret: ''", "$.fleet_secret", "allow_open"),
        ],
    )
    def test_error_names_the_field(self, tmp_path, extra, path, words):
        file = write(tmp_path, ENTRY % extra)
        with pytest.raises(SettingsError) as caught:
            read_settings(file, EntrySettings)
        assert caught.value.path == path
        assert words in caught.value.problem
        assert str(file) in str(caught.value)

    def test_missing_field_is_refused(self, tmp_path):
        file = write(tmp_path, "{role: 'sidecar', instance: 'a'}")
        with pytest.raises(SettingsError) as caught:
            read_settings(file, SidecarSettings)
        assert (caught.value.path, caught.value.problem) == (
            "$.data_centre",
            "the field is missing",
        )

    @pytest.mark.parametrize("text", ["{", "[]", "3", "{a:" * 5_000, "\x00"])
    def test_document_that_is_not_an_object_is_refused(self, tmp_path, text):
        with pytest.raises(SettingsError) as caught:
            read_settings(write(tmp_path, text), EntrySettings)
        assert caught.value.path == "$"

    def test_missing_file_is_refused(self, tmp_path):
        with pytest.raises(SettingsError):
            read_settings(tmp_path / "none.json", EntrySettings)


class TestAdminKeys:
    def test_key_is_read(self, tmp_path):
        keys = f"[{{name: 'ana', key_digest: '{DIGEST}', workspaces: ['harbour']}}]"
        extra = f"admin_listen: '127.0.0.1:7500', admin_keys: {keys}"
        (key,) = read_settings(write(tmp_path, ENTRY % extra), EntrySettings).admin_keys
        assert (key.name, key.role, key.workspaces) == ("ana", "read", ("harbour",))

    @pytest.mark.parametrize(
        ("keys", "path", "words"),
        [
            ("3", "$.admin_keys", "found 3"),
            ("[3]", "$.admin_keys[0]", "found int, allowed is an object"),
            ("[{name: 'a'}]", "$.admin_keys[0].key_digest", "missing"),
            ("[{name: 'a', key_digest: 'sesame'}]", "$.admin_keys[0].key_digest", "64 hex digits"),
            ("[{name: 'a', key_digest: 7777777}]", "$.admin_keys[0].key_digest", "found int"),
            ("[{name: 'a', key_digest: D, role: 'root'}]", "$.admin_keys[0].role", "operate"),
            ("[{name: 'a', key_digest: D, rolle: 1}]", "$.admin_keys[0].rolle", "unknown field"),
            ("[{name: 'a', key_digest: D}, {name: 'b', key_digest: D}]", None, "duplicate key"),
            ("[]", "$.admin_keys", "found no key; at least one is required"),
        ],
    )
    def test_refusal_names_the_key_and_shows_no_secret(self, tmp_path, keys, path, words):
        extra = f"admin_listen: '127.0.0.1:7500', admin_keys: {keys.replace('D', repr(DIGEST))}"
        with pytest.raises(SettingsError, match=words) as caught:
            read_settings(write(tmp_path, ENTRY % extra), EntrySettings)
        assert caught.value.path == (path or "$.admin_keys[1].key_digest")
        for secret in ("sesame", "7777777", DIGEST):
            assert secret not in str(caught.value)

    def test_invalid_address_is_refused(self, tmp_path):
        extra = "admin_listen: 'nowhere'"
        with pytest.raises(SettingsError, match="allowed is IP:port") as caught:
            read_settings(write(tmp_path, ENTRY % extra), EntrySettings)
        assert caught.value.path == "$.admin_listen"


class TestSecrets:
    def test_secret_of_the_wrong_type_is_not_shown(self, tmp_path):
        with pytest.raises(SettingsError, match="found int") as caught:
            read_settings(write(tmp_path, ENTRY % "fleet_secret: 7777777"), EntrySettings)
        assert "7777777" not in str(caught.value)


class TestExamples:
    @pytest.mark.parametrize("file", sorted(EXAMPLES.iterdir()), ids=lambda file: file.name)
    def test_pass_the_check(self, file, capsys):
        done = app(["settings", "check", str(file)], result_action="return_value")
        assert done == 0
        assert "fine for guavawalk" in capsys.readouterr().out

    def test_cover_every_role(self):
        roles = [read_role(file) for file in EXAMPLES.iterdir()]
        assert set(roles) == {"entry", "sidecar", "gateway"}


def wrong_values(kind):
    for name, part in get_type_hints(kind).items():
        for value, words in (("[[]]", "$."), ("{z: 1}", "$."), ("null", "$.")):
            yield pytest.param(kind, name, value, words, id=f"{kind.__name__}-{name}-{value}")


class TestEveryField:
    @pytest.mark.parametrize(
        ("kind", "name", "value", "words"),
        [*wrong_values(EntrySettings), *wrong_values(SidecarSettings)],
    )
    def test_wrong_type_names_the_field(self, tmp_path, kind, name, value, words):
        file = write(tmp_path, f"{{{name}: {value}}}")
        with pytest.raises(SettingsError) as caught:
            read_settings(file, kind)
        assert caught.value.source == str(file)
        assert caught.value.path.startswith(f"{words}{name}")
        assert "found" in caught.value.problem or "unknown field" in caught.value.problem
