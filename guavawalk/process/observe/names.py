"""Declares the names of all metrics; the table in docs/METRICS.md is generated from them."""

import re
from typing import NamedTuple

__all__ = ["METRICS", "MetricName", "sanitize_metric_part"]

UNSAFE = re.compile("[^A-Za-z0-9_-]")


class MetricName(NamedTuple):
    """A metric that is sent to statsd or, for a gateway, served at its metrics address.

    Attributes
    ----------
    pattern : str
        Name without the common prefix. Parts in braces are variable; in metrics of gateways they
        are labels.
    kind : str
        `count`, `time`, `gauge`, or `observe` for a histogram.
    role : str
        Kinds of process that report the metric; `both` for entries and sidecars.
    meaning : str
        Description for the documentation.
    """

    pattern: str
    kind: str
    role: str
    meaning: str


METRICS = (
    MetricName("request.{tier}.{code}", "count", "entry", "requests that ended with a code"),
    MetricName("request.{tier}.first_token_ms", "time", "entry", "arrival to first byte"),
    MetricName("request.{tier}.whole_ms", "time", "entry", "arrival to last byte"),
    MetricName(
        "request.invalid.{code}", "count", "entry", "requests refused before they were read"
    ),
    MetricName("attempt.{tier}.{code}", "count", "sidecar", "attempts that ended with a code"),
    MetricName("attempt.{tier}.queue_ms", "time", "sidecar", "offer to dispatch"),
    MetricName("attempt.{tier}.first_token_ms", "time", "sidecar", "offer to first token"),
    MetricName(
        "attempt.{tier}.wasted_prompt_tokens",
        "count",
        "sidecar",
        "prompt tokens computed for attempts that did not complete",
    ),
    MetricName("running", "gauge", "both", "requests or attempts under way"),
    MetricName("queued", "gauge", "sidecar", "attempts that wait for dispatch"),
    MetricName("window", "gauge", "sidecar", "attempts that may run at once"),
    MetricName("version", "gauge", "both", "number of the configuration in force"),
    MetricName("resident_bytes", "gauge", "both", "memory of the process"),
    MetricName(
        "input_bytes",
        "gauge",
        "entry, gateway",
        "memory of what callers have sent, reserved room included",
    ),
    MetricName("input_limit_bytes", "gauge", "entry, gateway", "most memory for what callers send"),
    MetricName(
        "input_waiting", "gauge", "entry, gateway", "connections not read for lack of that memory"
    ),
    MetricName(
        "input_refused",
        "gauge",
        "entry, gateway",
        "requests refused since the start to free that memory",
    ),
    MetricName(
        "input_turns_waiting",
        "gauge",
        "entry, gateway",
        "requests whose bodies wait for processor time",
    ),
    MetricName(
        "input_turns_refused",
        "gauge",
        "entry, gateway",
        "requests refused since the start for lack of processor time",
    ),
    MetricName("log_lines_dropped", "gauge", "all", "log lines dropped since the start"),
    MetricName(
        "calls_total{code}",
        "count",
        "gateway",
        "calls that ended, those cut off by a stop included, by result code",
    ),
    MetricName(
        "requests_rejected_total{status}",
        "count",
        "gateway",
        "requests that could not be read, by the status of the answer",
    ),
    MetricName(
        "callers_turned_away_total",
        "count",
        "gateway",
        "connections closed at once since the process has too many",
    ),
    MetricName(
        "callers_lost_total", "count", "gateway", "connections that broke while an answer was sent"
    ),
    MetricName(
        "repeats_total{result}",
        "count",
        "gateway",
        "further attempts, by the result of the attempt before; `SILENT` where the call went on at"
        " another target",
    ),
    MetricName(
        "surplus_answers_total",
        "count",
        "gateway",
        "answers of targets that belong to another request and were discarded",
    ),
    MetricName(
        "answers_invalid_total",
        "count",
        "gateway",
        "answers of targets that are no HTTP, have a status outside 100 to 599, or would end with"
        " a connection that broke while the request was being sent",
    ),
    MetricName(
        "answers_over_limit_total",
        "count",
        "gateway",
        "answers of targets cut off since their head, framing, event or body exceeds a limit",
    ),
    MetricName("target_leaves_total", "count", "gateway", "targets that said that they leave"),
    MetricName(
        "target_quiets_total",
        "count",
        "gateway",
        "answers in which a target asked for no calls for some time",
    ),
    MetricName(
        "target_quiet_invalid_total",
        "count",
        "gateway",
        "answers in which that time could not be read, or was excessive",
    ),
    MetricName("warmups_total", "count", "gateway", "warm-ups of targets that became known"),
    MetricName(
        "warmups_held_total",
        "count",
        "gateway",
        "warm-ups of targets in which calls were held back",
    ),
    MetricName(
        "target_ends_total{evidence}",
        "count",
        "gateway",
        "evidence that a target ended: `refused`, `restarted` or `lapsed`",
    ),
    MetricName(
        "part_trials_total",
        "count",
        "gateway",
        "calls that ran to show whether a part ends targets",
    ),
    MetricName(
        "peer_messages_rejected_total",
        "count",
        "gateway",
        "datagrams and pages of other gateways that can't be used",
    ),
    MetricName(
        "registry_entries_invalid_total{what}",
        "count",
        "gateway",
        "unusable entries in the registry, each time they are read: `routes`, `evacuations`"
        " or `targets`",
    ),
    MetricName(
        "registry_answers_superseded_total{what}",
        "count",
        "gateway",
        "answers of the registry that were dropped since a later list was taken from another"
        " gateway meanwhile",
    ),
    MetricName(
        "registry_answers_outdated_total{what}",
        "count",
        "gateway",
        "answers of the registry that were dropped since a later era is known",
    ),
    MetricName(
        "registrations_outdated_total",
        "count",
        "gateway",
        "entries ignored since they are older copies that contradict what is known of a target",
    ),
    MetricName(
        "crossings_total{reason}",
        "count",
        "gateway",
        "calls sent to another data centre, by reason: `no_target`, `full`, `goal` or `failure`",
    ),
    MetricName(
        "sends_broken_total",
        "count",
        "gateway",
        "sends during which the target closed the connection",
    ),
    MetricName(
        "registry_failures_total{what}",
        "count",
        "gateway",
        "calls to the registry without a usable answer",
    ),
    MetricName(
        "call_seconds{kind}", "observe", "gateway", "arrival to last byte, by the kind of route"
    ),
    MetricName(
        "first_event_seconds{rank}",
        "observe",
        "gateway",
        "arrival to the first event or the complete answer, by rank",
    ),
    MetricName(
        "queue_seconds{service}", "observe", "gateway", "arrival to the first send to a target"
    ),
    MetricName(
        "pause_seconds{rank}", "observe", "gateway", "longest time between events of a stream"
    ),
    MetricName(
        "loop_delay_seconds", "observe", "gateway", "how late the event loop runs a due timer"
    ),
    MetricName("calls_running", "gauge", "gateway", "calls under way"),
    MetricName("caller_connections", "gauge", "gateway", "callers' connections that are open"),
    MetricName(
        "calls_waiting{service}", "gauge", "gateway", "calls that wait for a slot at a target"
    ),
    MetricName(
        "calls_waiting_elsewhere{service}",
        "gauge",
        "gateway",
        "calls that wait for a slot at other gateways, by their reports of the last 1.5 s",
    ),
    MetricName(
        "queue_refusals{reason}",
        "gauge",
        "gateway",
        "calls refused because no slot is free in time, by reason, since the start",
    ),
    MetricName(
        "calls_returned{when}",
        "gauge",
        "gateway",
        "refused calls that came again, `punctual` as told or `early`, since the start",
    ),
    MetricName(
        "slots_yielded",
        "gauge",
        "gateway",
        "times that a free slot was left to a call of another gateway, since the start",
    ),
    MetricName(
        "load_difference{service,data_centre}",
        "gauge",
        "gateway",
        "calls that run or wait for each slot of the own data centre less the load of each slot of"
        " another one",
    ),
    MetricName("routes_version", "gauge", "gateway", "version of the routes in force"),
    MetricName(
        "routes_age_seconds", "gauge", "gateway", "time since the routes came into force here"
    ),
    MetricName(
        "registry_silent_seconds{what}",
        "gauge",
        "gateway",
        "time since the registry last answered; at a gateway that watches, less than `contact_ms`",
    ),
    MetricName(
        "registry_era",
        "gauge",
        "gateway",
        "latest era of the registry that was seen; it grows when the registry returns from an older"
        " copy",
    ),
    MetricName(
        "targets_revision",
        "gauge",
        "gateway",
        "revision of the last known change of a registration, within the era",
    ),
    MetricName(
        "targets_complete_revision",
        "gauge",
        "gateway",
        "revision up to which the registrations are complete, within the era",
    ),
    MetricName("evacuated{data_centre}", "gauge", "gateway", "1 while a data centre is evacuated"),
    MetricName("ready", "gauge", "gateway", "1 while new connections are accepted, else 0"),
    MetricName("gateways_heard", "gauge", "gateway", "other gateways whose reports still arrive"),
    MetricName(
        "gateways_heard_share",
        "gauge",
        "gateway",
        "share of all gateways whose reports still arrive, this one included",
    ),
    MetricName("cold_targets", "gauge", "gateway", "targets in their warm-up, as known here"),
    MetricName("target_running{target}", "gauge", "gateway", "calls of all gateways at a target"),
    MetricName(
        "target_failure_share{target}",
        "gauge",
        "gateway",
        "share of recent calls that failed at a target",
    ),
    MetricName(
        "target_slowness{target}",
        "gauge",
        "gateway",
        "ratio of a target's measured times to the nominal ones",
    ),
    MetricName(
        "target_silent_seconds{target}",
        "gauge",
        "gateway",
        "time since a target last answered a call of this gateway",
    ),
    MetricName(
        "quota_admitted{workspace}",
        "gauge",
        "gateway",
        "amount of a workspace's quota that this gateway admitted and did not refund",
    ),
    MetricName(
        "repeats_left{service}",
        "gauge",
        "gateway",
        "further attempts that this gateway may make now within the retry budget",
    ),
    MetricName(
        "connections_opened", "gauge", "gateway", "connections opened to targets since the start"
    ),
    MetricName("crash_suspects", "gauge", "gateway", "calls that were in flight when targets died"),
    MetricName(
        "part_suspects", "gauge", "gateway", "parts of prompts that are, or were, suspected"
    ),
    MetricName(
        "parts_blamed",
        "gauge",
        "gateway",
        "parts of prompts for which requests are refused, alone or with others",
    ),
    MetricName(
        "crash_news_queued", "gauge", "gateway", "suspects of which other gateways are still told"
    ),
    MetricName(
        "crash_news_dropped",
        "gauge",
        "gateway",
        "suspects displaced by newer ones before others were told, since the start",
    ),
    MetricName(
        "peak_memory_bytes", "gauge", "gateway", "largest resident memory of the process so far"
    ),
    MetricName("processor_seconds", "gauge", "gateway", "processor time of the process so far"),
)


def sanitize_metric_part(text: str) -> str:
    """Replace the characters that statsd does not accept in a part of a name.

    Examples
    --------
    >>> sanitize_metric_part("on.site:1")
    'on_site_1'
    """
    return UNSAFE.sub("_", text)
