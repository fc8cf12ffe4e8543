"""Compares the load that a gateway believes its targets have with what the others last reported."""

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from guavawalk.process.gateway.centres import CentreSummary, create_centre_table
from guavawalk.process.gateway.loads import TargetLoad
from guavawalk.process.gateway.peers import create_peer_table
from guavawalk.process.gateway.quota import create_quota_windows
from guavawalk.process.gateway.reports import PeerReport
from guavawalk.process.gateway.targets import create_target_table
from tests.gateway_calls import make_registration

TARGET_IDS = ("i-1", "i-2", "i-3")
PEERS = ("10.0.0.2:1", "10.0.0.3:1")
CENTRES = ("b", "c")
SOURCES = PEERS + CENTRES
# Longer than any gateway or data centre may be silent until its load no longer counts, in seconds.
SILENCE_S = 3.0


class Step(NamedTuple):
    """What happens next; `who` selects the target or the source that it happens to."""

    kind: str
    who: int
    running: tuple[int, ...]


RUNNING = st.tuples(*(st.integers(0, 9) for _ in TARGET_IDS))
STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(("register", "remove", "start again", "report", "restart", "silence")),
        st.integers(0, 11),
        RUNNING,
    ),
    max_size=30,
)


class LoadFixture:
    """A gateway's tables, and the last report of each gateway and data centre beside it."""

    def __init__(self, registered=()):
        self.targets = create_target_table()
        quotas = create_quota_windows(8.0)
        self.centres = create_centre_table(self.targets, quotas)
        self.peers = create_peer_table("10.0.0.1:1", "a", (), self.targets, quotas, self.centres)
        self.reported = {}
        self._now_s = 0.0
        self._sequence = 0
        self._incarnations = dict.fromkeys(SOURCES, 1)
        self._starts = dict.fromkeys(TARGET_IDS, 1)
        for target_id in registered:
            self.register(target_id)

    def register(self, target_id):
        registration = make_registration(target_id, started_at_ms=self._starts[target_id])
        if self.targets.put(registration):
            self.peers.count_missing_loads()

    def start_again(self, target_id):
        self._starts[target_id] += 1
        self.register(target_id)

    def remove(self, target_id):
        self.targets.remove(target_id, self._now_s, has_lapsed=False)

    def report(self, source, running):
        self._sequence += 1
        counts = {key: count for key, count in zip(TARGET_IDS, running) if count}
        loads = tuple(TargetLoad(key, count, 10 * count, 0, 1, 1) for key, count in counts.items())
        number, incarnation = self._sequence, self._incarnations[source]
        if source in PEERS:
            report = PeerReport(source, incarnation, number, target_loads=loads, data_centre="a")
            self.peers.apply_report(report, self._now_s)
        else:
            relay = f"10.{source}:1"
            summary = CentreSummary(
                source, relay, incarnation, number, live=(relay,), target_loads=loads
            )
            self.centres.apply(summary, self._now_s)
        self.reported[source] = counts

    def restart(self, source):
        self._incarnations[source] += 1

    def be_silent(self, source):
        """Let time pass in which all but one source report what they reported before."""
        self._now_s += SILENCE_S
        for other, counts in list(self.reported.items()):
            if other != source:
                self.report(other, tuple(counts.get(key, 0) for key in TARGET_IDS))
        self.peers.expire(self._now_s)
        self.centres.expire(self._now_s)
        self.reported.pop(source, None)

    def perform(self, step):
        target_id, source = TARGET_IDS[step.who % 3], SOURCES[step.who % 4]
        match step.kind:
            case "register":
                self.register(target_id)
            case "remove":
                self.remove(target_id)
            case "start again":
                self.start_again(target_id)
            case "report":
                self.report(source, step.running)
            case "restart":
                self.restart(source)
            case "silence":
                self.be_silent(source)

    def believed(self):
        return {
            target.registration.target_id: (target.peer_running, target.peer_prefill_tokens)
            for target in self.targets
        }

    def expected(self):
        sums = {
            target_id: sum(counts.get(target_id, 0) for counts in self.reported.values())
            for target_id in self.targets.ids()
        }
        return {target_id: (running, 10 * running) for target_id, running in sums.items()}


class TestBelievedLoad:
    @given(STEPS, st.tuples(*(RUNNING for _ in SOURCES)))
    def test_equals_the_last_reports_once_all_have_reported(self, steps, last):
        fixture = LoadFixture()
        for step in steps:
            fixture.perform(step)
        for source, running in zip(SOURCES, last):
            fixture.report(source, running)
        assert fixture.believed() == fixture.expected()

    def test_load_reported_before_the_target_was_known_is_not_subtracted(self):
        fixture = LoadFixture()
        fixture.report(PEERS[0], (3, 0, 0))
        fixture.register("i-1")
        fixture.report(PEERS[1], (4, 0, 0))
        fixture.report(PEERS[0], (3, 0, 0))
        assert fixture.believed()["i-1"] == (7, 70)

    def test_load_of_an_earlier_start_is_not_subtracted_from_the_new_one(self):
        fixture = LoadFixture(["i-1"])
        fixture.report(PEERS[0], (3, 0, 0))
        fixture.report(PEERS[1], (4, 0, 0))
        fixture.start_again("i-1")
        fixture.report(PEERS[0], (3, 0, 0))
        fixture.report(PEERS[1], (1, 0, 0))
        assert fixture.believed()["i-1"] == (4, 40)

    def test_gateway_that_hears_the_others_before_the_registry_counts_all_their_loads(self):
        fixture = LoadFixture()
        for source in SOURCES:
            fixture.report(source, (4, 0, 0))
        fixture.register("i-1")
        for _ in range(20):
            for source in SOURCES:
                fixture.report(source, (4, 0, 0))
        assert fixture.believed()["i-1"] == (16, 160)
