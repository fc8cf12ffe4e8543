"""The exceptions that guavawalk raises, all derived from `GuavawalkError`."""

from guavawalk.codes import CodeClass, ResultCode, code_class, describe_code

__all__ = [
    "AdminError",
    "AnswerInvalid",
    "AnswerOverLimit",
    "CallerGone",
    "ConfigurationError",
    "DamagedValue",
    "GuavawalkError",
    "HistoryGone",
    "HttpInvalid",
    "LinkBroken",
    "LinkError",
    "LinkRefused",
    "LogFileError",
    "PlatformUnavailable",
    "RegistrationInvalid",
    "RequestError",
    "ResultsError",
    "SettingsError",
    "TargetConnectError",
    "TargetError",
    "TargetLost",
]


class GuavawalkError(Exception):
    """Base class of all exceptions that guavawalk defines."""


class ResultsError(GuavawalkError):
    """A results file of load runs can't be read, or a report on it can't be written.

    Parameters
    ----------
    place : str
        File and line, or name of the run.
    problem : str
        What was found and what is allowed.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


class SettingsError(GuavawalkError):
    """A settings file is unreadable or has a value that is not allowed.

    Parameters
    ----------
    source : str
        Path of the file, or name of the environment variable that should give it.
    path : str
        JSON path of the field; `$` for the document itself.
    problem : str
        What was found and what is allowed.
    """

    def __init__(self, source: str, path: str, problem: str) -> None:
        super().__init__(f"{source}: {path}: {problem}")
        self.source = source
        self.path = path
        self.problem = problem


class AdminError(GuavawalkError):
    """The administration API answered with an error, or did not answer."""


class ConfigurationError(GuavawalkError):
    """A published configuration is invalid and can't be activated.

    Parameters
    ----------
    path : str
        Path of the field within the published documents.
    problem : str
        What was found and what is allowed.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class DamagedValue(ConfigurationError):
    """A value doesn't match its digest; another source may hold an undamaged copy."""


class LogFileError(GuavawalkError):
    """A log file can't be read."""


class PlatformUnavailable(GuavawalkError):
    """The platform's service did not answer, or its answer is unusable."""


class HistoryGone(PlatformUnavailable):
    """The platform no longer holds the revisions that a watch needs; read all values again."""


class RegistrationInvalid(GuavawalkError):
    """A registration in the registry doesn't describe a usable target.

    Parameters
    ----------
    key : str
        Key of the registration in the registry.
    problem : str
        What was found.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class CallerGone(GuavawalkError):
    """The caller closed its connection before its request was answered."""


class HttpInvalid(GuavawalkError):
    """A request is not valid HTTP/1.1, exceeds a limit or arrives too slowly.

    Parameters
    ----------
    status : int
        HTTP status with which to answer the caller.
    problem : str
        What was found.
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status
        self.problem = problem


class RequestError(GuavawalkError):
    """A request ends with a result code other than `COMPLETED`.

    Parameters
    ----------
    code : ResultCode
        Outcome to report to the caller.
    detail : str, optional
        Cause, as text for the caller; empty to use the message of the code.
    retry_after_ms : int, optional
        Delay after which a retry may succeed; callers receive no delay for 0 as for None.
    """

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_ms: int | None = None
    ) -> None:
        super().__init__(detail or describe_code(code).message)
        self.code = code
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    @property
    def code_class(self) -> CodeClass:
        """Class of the result code."""
        return code_class(self.code)


class LinkError(GuavawalkError):
    """A link, a connection between two guavawalk processes, failed."""


class LinkRefused(LinkError):
    """A link could not be opened; at most handshake messages were sent."""


class LinkBroken(LinkError):
    """An open link ended, or carried a message that is unreadable or out of turn."""


class TargetError(GuavawalkError):
    """A request to a target, or to another HTTP server of the system, failed."""


class TargetConnectError(TargetError):
    """No connection to the target was made; it received nothing of the request.

    Parameters
    ----------
    is_refused : bool, optional
        Whether the target's machine refused the connection.
    """

    def __init__(self, problem: str, is_refused: bool = False) -> None:
        super().__init__(problem)
        self.is_refused = is_refused


class TargetLost(TargetError):
    """No complete answer arrived on the connection to the target; the request may have run.

    Parameters
    ----------
    is_silent : bool, optional
        Whether the connection was given up because the target's machine acknowledged nothing.
    """

    def __init__(self, problem: str, is_silent: bool = False) -> None:
        super().__init__(problem)
        self.is_silent = is_silent


class TargetRejected(TargetError):
    """The target stated that it did not run the request and won't.

    Parameters
    ----------
    is_misdirected : bool
        Whether another target than the expected one is at the address.
    """

    def __init__(self, problem: str, is_misdirected: bool) -> None:
        super().__init__(problem)
        self.is_misdirected = is_misdirected


class TargetFailed(TargetError):
    """The target ran the request and answered with an error of its own."""


class AnswerInvalid(TargetLost):
    """What arrived is no complete HTTP answer; the request may have run."""


class AnswerOverLimit(TargetLost):
    """An answer exceeds a limit of its head, framing, events or body; the request may have run."""
