"""`guavawalk config` with the example configurations, and its errors."""

import subprocess
import sys
from pathlib import Path

import pytest

from guavawalk.exception import ConfigurationError
from guavawalk.tools.commands.app import app
from guavawalk.version.authoring import load_configuration

EXAMPLES = Path(__file__).parents[3] / "examples"
KESTREL = str(EXAMPLES / "kestrel_lane.py")
ASANTE = str(EXAMPLES / "asante_trust.py")


def run(capsys, *words: str) -> str:
    assert app(list(words), exit_on_error=False, result_action="return_value") == 0
    return capsys.readouterr().out


class TestExamples:
    @pytest.mark.parametrize(("file", "targets", "services"), [(KESTREL, 5, 3), (ASANTE, 10, 4)])
    def test_have_the_expected_numbers_of_targets(self, file, targets, services):
        configuration = load_configuration(Path(file))
        kinds = [target.kind for target in configuration.targets.values()]
        assert (kinds.count("model"), kinds.count("service")) == (targets, services)
        assert len(configuration.workspaces) == 5

    def test_render_gives_the_same_bytes(self, capsys, tmp_path):
        for name in ("a", "b"):
            run(
                capsys, "config", "render", KESTREL, "--version", "7", "--out", str(tmp_path / name)
            )
        files = [sorted((tmp_path / name).rglob("*")) for name in ("a", "b")]
        contents = [[f.read_bytes() for f in found if f.is_file()] for found in files]
        assert contents[0] == contents[1]
        assert load_configuration(tmp_path / "a").stamp.version == 7


class TestCommands:
    def test_check_counts_definitions_and_gives_no_advice(self, capsys):
        out = run(capsys, "config", "check", ASANTE)
        assert "3 tiers, 14 targets, 5 workspaces" in out
        assert "note:" not in out

    def test_advice_is_bounded(self, capsys, tmp_path):
        file = tmp_path / "fleet.py"
        names = "from guavawalk.version.authoring import create_draft\ndraft = create_draft()\n"
        file.write_text(names + "for i in range(30):\n    draft.add_model(f'm{i}')\n")
        out = run(capsys, "config", "check", str(file))
        assert out.count("note: models.") == 20
        assert "note: and 10 more" in out

    def test_diff_lists_changes(self, capsys):
        assert run(capsys, "config", "diff", KESTREL, KESTREL) == "nothing changes\n"
        assert "workspace weavers: is new" in run(capsys, "config", "diff", KESTREL, ASANTE)

    def test_explain_lists_capable_targets_or_all(self, capsys):
        words = ["--workspace", "harbour", "--model", "quill", "--here", "nanaimo"]
        out = run(capsys, "config", "explain", KESTREL, *words)
        assert "engine-4" in out
        assert "3 other targets do not serve quill at all" in out
        out = run(capsys, "config", "explain", KESTREL, *words, "--every-target")
        assert "does not hold model" in " ".join(out.split())

    @pytest.mark.parametrize(
        ("words", "place"),
        [
            (["--workspace", "nobody", "--model", "quill"], "--workspace"),
            (["--workspace", "harbour", "--tier", "slow", "--model", "quill"], "--tier"),
            (["--workspace", "harbour", "--model", "brush"], "--model"),
            (["--workspace", "harbour", "--service", "ledger"], "--service"),
            (["--workspace", "harbour"], "--model"),
            (["--workspace", "harbour", "--model", "quill", "--here", "sooke"], "--here"),
        ],
    )
    def test_explain_names_the_option_with_an_unknown_name(self, words, place):
        with pytest.raises(ConfigurationError) as caught:
            app(["config", "explain", KESTREL, *words], exit_on_error=False)
        assert caught.value.path == place

    def test_error_is_one_line_without_traceback(self, tmp_path):
        file = tmp_path / "fleet.py"
        file.write_text("from guavawalk.version.authoring import create_draft\ncreate_draft(3)\n")
        command = [sys.executable, "-m", "guavawalk", "config", "check", str(file)]
        done = subprocess.run(command, capture_output=True, text=True, cwd=EXAMPLES.parent)
        assert done.returncode == 2
        assert done.stderr.startswith(f"guavawalk: {file}:2: TypeError")
        assert done.stderr.count("\n") == 1
