"""Settings files: what is taken, and what is refused with which words."""

import pytest

from guavawalk.exception import SettingsError
from guavawalk.process.settings import EntrySettings, SidecarSettings, read_role, read_settings

ENTRY = """{
  // where this instance stands
  role: "entry", instance: "entry-1", data_centre: "victoria",
  listen: "127.0.0.1:7000", platform_url: "http://127.0.0.1:7100",
  fleet_secret: "s3cret", statsd: {host: "127.0.0.1"}, %s
}"""


def write(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    return path


class TestReading:
    def test_comments_and_nested_fields(self, tmp_path):
        settings = read_settings(write(tmp_path, ENTRY % ""), EntrySettings)
        assert settings.instance == "entry-1"
        assert settings.statsd.host == "127.0.0.1"
        assert settings.statsd.port == 8125

    def test_role(self, tmp_path):
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
    def test_names_the_field(self, tmp_path, extra, path, words):
        file = write(tmp_path, ENTRY % extra)
        with pytest.raises(SettingsError) as caught:
            read_settings(file, EntrySettings)
        assert caught.value.path == path
        assert words in caught.value.problem
        assert str(file) in str(caught.value)

    def test_missing_field(self, tmp_path):
        file = write(tmp_path, "{role: 'sidecar', instance: 'a'}")
        with pytest.raises(SettingsError) as caught:
            read_settings(file, SidecarSettings)
        assert (caught.value.path, caught.value.problem) == (
            "$.data_centre",
            "the field is missing",
        )

    @pytest.mark.parametrize("text", ["{", "[]", "3", "{a:" * 5_000, "\x00"])
    def test_no_object(self, tmp_path, text):
        with pytest.raises(SettingsError) as caught:
            read_settings(write(tmp_path, text), EntrySettings)
        assert caught.value.path == "$"

    def test_no_file(self, tmp_path):
        with pytest.raises(SettingsError):
            read_settings(tmp_path / "none.json", EntrySettings)
