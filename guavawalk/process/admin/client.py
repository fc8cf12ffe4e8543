"""HTTP client of the administration API."""

import json
from typing import Any

import anyio
import httpcore

from guavawalk.exception import AdminError

__all__ = ["AdminClient", "create_admin_client"]

TIMEOUT_S = 10.0
OK_STATUS = 200


class AdminClient:
    """Client of the administration API of one process.

    Attributes
    ----------
    address : str
        Address of the API, `IP:port`.

    Notes
    -----
    `get` and `post` raise `AdminError` if there is no connection, no answer within `TIMEOUT_S` or
    no valid answer, and if the process refuses the request.
    """

    def __init__(self, address: str, key: str, pool: httpcore.AsyncConnectionPool) -> None:
        self.address = address
        self._key = key
        self._pool = pool

    async def get(self, path: str) -> Any:
        """Return the JSON document at a path."""
        return await self._request("GET", path, None)

    async def post(self, path: str, document: Any) -> Any:
        """Send a JSON document to a path and return the JSON document in the answer."""
        return await self._request("POST", path, json.dumps(document).encode())

    async def _request(self, method: str, path: str, content: bytes | None) -> Any:
        headers = [("Authorization", f"Bearer {self._key}"), ("Content-Type", "application/json")]
        try:
            with anyio.fail_after(TIMEOUT_S):
                response = await self._pool.request(
                    method, f"http://{self.address}{path}", headers=headers, content=content
                )
        except (httpcore.ConnectError, httpcore.NetworkError) as error:
            raise AdminError(f"{self.address}: no connection: {error}") from error
        except (TimeoutError, httpcore.TimeoutException) as error:
            raise AdminError(f"{self.address}: no answer within {TIMEOUT_S:g} s") from error
        except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
            raise AdminError(f"{self.address}: not an HTTP server: {error}") from error
        return self._read(response)

    def _read(self, response: httpcore.Response) -> Any:
        try:
            document = json.loads(response.content)
            if response.status == OK_STATUS:
                return document
            error = document["error"]
            problem = f"{error['number']} {error['name']}: {error['message']}"
        except (ValueError, KeyError, TypeError) as error:
            text = f"{self.address}: HTTP {response.status} without a valid document of this API"
            raise AdminError(text) from error
        raise AdminError(f"{self.address}: {problem}")


def create_admin_client(address: str, key: str, pool: httpcore.AsyncConnectionPool) -> AdminClient:
    """Create a client of the process whose administration API is at `IP:port`."""
    return AdminClient(address, key, pool)
