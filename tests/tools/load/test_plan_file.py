"""Load plans: valid plans are read, and errors name the field."""

from pathlib import Path

import pytest

from guavawalk.exception import SettingsError
from guavawalk.tools.bench.policy import bench_plan
from guavawalk.tools.load.faults import check_faults
from guavawalk.tools.load.plan_file import read_load_plan

PLANS = Path(__file__).parents[3] / "plans"
GOOD = '{title: "t", deployment: "kestrel", load: 0.5, duration_s: 10, faults: [%s]}'


def write(tmp_path, text):
    path = tmp_path / "plan.json"
    path.write_text(text)
    return path


class TestPlansOfTheRepository:
    @pytest.mark.parametrize("path", sorted(PLANS.glob("*.json")), ids=lambda path: path.stem)
    def test_is_valid(self, path):
        plan = read_load_plan(path)
        check_faults(str(path), plan, bench_plan(plan.deployment))


class TestRefusal:
    @pytest.mark.parametrize(
        ("fault", "path"),
        [
            ("{kind: 'meteor', at_s: 1}", "$.faults[0].kind"),
            ("{kind: 'pause', at_s: 11}", "$.faults[0].at_s"),
            ("{kind: 'pause', at_s: -1}", "$.faults[0].at_s"),
            ("{kind: 'pause', at_s: 1, for_s: 0}", "$.faults[0].for_s"),
            ("{kind: 'pause', at_s: 'x'}", "$.faults[0].at_s"),
            ("{kind: 'pause'}", "$.faults[0].at_s"),
            ("{kind: 'pause', at_s: 1, wher: 'x'}", "$.faults[0].wher"),
            ("3", "$.faults[0]"),
        ],
    )
    def test_error_names_the_field_of_a_fault(self, tmp_path, fault, path):
        with pytest.raises(SettingsError) as caught:
            read_load_plan(write(tmp_path, GOOD % fault))
        assert caught.value.path == path

    @pytest.mark.parametrize(
        ("old", "new", "path"),
        [
            ("kestrel", "osprey", "$.deployment"),
            ("0.5", "0", "$.load"),
            ("title", "titel", "$.titel"),
            ("faults: [", "policies: ['luck'], faults: [", "$.policies[0]"),
        ],
    )
    def test_error_names_the_field(self, tmp_path, old, new, path):
        with pytest.raises(SettingsError) as caught:
            read_load_plan(write(tmp_path, (GOOD % "").replace(old, new)))
        assert caught.value.path == path

    @pytest.mark.parametrize("kind", ["engine_slow", "sidecar_kill", "entry_kill", "partition"])
    def test_unknown_place_of_a_fault_is_refused(self, tmp_path, kind):
        plan = read_load_plan(write(tmp_path, GOOD % f"{{kind: '{kind}', at_s: 1, where: 'x'}}"))
        with pytest.raises(SettingsError) as caught:
            check_faults("f", plan, bench_plan("kestrel"))
        assert caught.value.path == "$.faults[0].where"
