"""Operators' files: errors state the line, and documents are read back as written."""

import pytest

from guavawalk.exception import ConfigurationError
from guavawalk.version.authoring import load_documents, load_draft, render_draft, write_documents
from guavawalk.version.documents import ROOT_KEY
from tests.version.authoring.test_draft import add_workspace, small_draft

HEAD = "from guavawalk.version.authoring import create_draft\ndraft = create_draft()\n"


class TestOperatorFiles:
    @pytest.mark.parametrize(
        ("text", "line", "problem"),
        [
            (HEAD + "draft.add_tier('a b')\n", ":3", "tiers.name: found 'a b'"),
            (HEAD + "draft.add_tier('a', speed=3)\n", ":3", "TypeError"),
            (HEAD + "\n\nx = unknown\n", ":5", "NameError"),
            (HEAD + "def (:\n", ":3", "not valid Python"),
            (HEAD + "raise SystemExit(3)\n", "", "the file raised SystemExit"),
            ("draft = 3\n", "", "sets no variable 'draft' to a Draft"),
        ],
    )
    def test_error_names_file_and_line(self, tmp_path, text, line, problem):
        file = tmp_path / "fleet.py"
        file.write_text(text)
        with pytest.raises(ConfigurationError) as caught:
            load_draft(file)
        assert caught.value.path == f"{file}{line}"
        assert problem in caught.value.problem

    def test_missing_file_is_reported(self, tmp_path):
        with pytest.raises(ConfigurationError, match="No such file"):
            load_draft(tmp_path / "none.py")


class TestDocumentFiles:
    def test_documents_are_read_back_as_written(self, tmp_path):
        documents = render_draft(small_draft(), 2)
        assert write_documents(documents, tmp_path) == len(documents.shards)
        assert load_documents(tmp_path) == documents

    def test_only_changed_shards_are_new(self, tmp_path):
        draft = small_draft()
        write_documents(render_draft(draft, 1), tmp_path)
        add_workspace(draft)
        assert write_documents(render_draft(draft, 2), tmp_path) == 1

    def test_damaged_shard_is_written_again(self, tmp_path):
        documents = render_draft(small_draft(), 1)
        write_documents(documents, tmp_path)
        shard = next((tmp_path / "guavawalk/shard").iterdir())
        shard.write_bytes(b"{}")
        assert write_documents(documents, tmp_path) == 1
        assert load_documents(tmp_path) == documents

    def test_missing_shard_is_named(self, tmp_path):
        write_documents(render_draft(small_draft(), 1), tmp_path)
        shard = next((tmp_path / "guavawalk/shard").iterdir())
        shard.unlink()
        with pytest.raises(ConfigurationError) as caught:
            load_documents(tmp_path)
        assert caught.value.path == str(shard)

    def test_unreadable_root_is_refused(self, tmp_path):
        (tmp_path / ROOT_KEY).parent.mkdir()
        (tmp_path / ROOT_KEY).write_bytes(b"\xff[")
        with pytest.raises(ConfigurationError, match="root"):
            load_documents(tmp_path)
