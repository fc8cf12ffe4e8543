"""The exception tree."""

from guavawalk.codes import CodeClass, ResultCode, code_class, describe_code

__all__ = [
    "AdminError",
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
    """Root of every error that guavawalk raises on purpose."""


class ResultsError(GuavawalkError):
    """A results file of load runs that can't be read, or a page of it that can't be written.

    Parameters
    ----------
    place : str
        File with the line, or run.
    problem : str
        What was found and what is allowed.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


class SettingsError(GuavawalkError):
    """A settings file that can't be obeyed.

    Parameters
    ----------
    source : str
        File that was read.
    path : str
        Path of the field, `$` for the document itself.
    problem : str
        What was found and what is allowed.
    """

    def __init__(self, source: str, path: str, problem: str) -> None:
        super().__init__(f"{source}: {path}: {problem}")
        self.source = source
        self.path = path
        self.problem = problem


class AdminError(GuavawalkError):
    """An answer of the administration API that is an error, or none."""


class ConfigurationError(GuavawalkError):
    """A published configuration that can't be taken.

    Parameters
    ----------
    path : str
        Place in the document set.
    problem : str
        What was found and what is allowed.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class DamagedValue(ConfigurationError):
    """A value that is not the one that its digest names; another source may have it whole."""


class LogFileError(GuavawalkError):
    """A log file that can't be read."""


class PlatformUnavailable(GuavawalkError):
    """The platform's service did not answer, or not with something usable."""


class HistoryGone(PlatformUnavailable):
    """The platform no longer holds the history that a watch asked for."""


class RegistrationInvalid(GuavawalkError):
    """A registration that names no usable target.

    Parameters
    ----------
    key : str
        Key of the entry.
    problem : str
        What was found.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class CallerGone(GuavawalkError):
    """The caller closed its connection while its request was under way."""


class HttpInvalid(GuavawalkError):
    """Bytes that are no message of HTTP/1.1, or one over the limits.

    Parameters
    ----------
    status : int
        What to answer a caller that sent it.
    problem : str
        What was found.
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status
        self.problem = problem


class RequestError(GuavawalkError):
    """A request that ends with a numbered code.

    Parameters
    ----------
    code : ResultCode
        Outcome to tell the caller.
    detail : str, optional
        What was wrong, in words for the caller.
    retry_after_ms : int, optional
        When a retry may succeed.
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
        """Class of the code."""
        return code_class(self.code)


class LinkError(GuavawalkError):
    """A failure of a connection between two processes of the system."""


class LinkRefused(LinkError):
    """No connection was made, so nothing was sent."""


class LinkBroken(LinkError):
    """An open connection ended, or carried something unreadable."""


class TargetError(GuavawalkError):
    """A failure of the target behind a sidecar."""


class TargetConnectError(TargetError):
    """The target took no connection, so it saw nothing of the request."""


class TargetLost(TargetError):
    """The target's connection ended before its answer did."""
