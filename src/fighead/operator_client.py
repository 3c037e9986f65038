"""HTTP client for the operator front of an entry."""

import json
import typing as t

import treq
from attrs import define

from .codec import to_json
from .exceptions import ConflictError, FigheadError

#: Time after which a call fails for lack of an answer, in seconds.
CALL_TIMEOUT_S = 10


class CallRefusedError(FigheadError):
    """An entry refused an operator's call, or gave no valid answer to it."""

    status = 400
    kind = "call_refused"


@define(eq=False)
class OperatorClient:
    """Calls the operator front of one entry.

    All calls raise :exc:`CallRefusedError` if the entry refuses them or gives no
    valid answer, and :exc:`.ConflictError` for a change to an outdated revision.

    :param base: Base URL of the front, without a slash at its end.
    :param token: Operator token, sent with every call.
    """

    base: str
    token: str

    async def get(self, path: str) -> t.Any:
        """Send a query and return the decoded JSON of its answer."""
        return await self._call("GET", path, None)

    async def put(self, path: str, value: t.Any) -> t.Any:
        """Send a command with an attrs object and return the decoded answer."""
        return await self._call("PUT", path, to_json(value).encode())

    async def post(self, path: str) -> t.Any:
        """Send a command without a body and return the decoded answer."""
        return await self._call("POST", path, b"")

    async def _call(self, method: str, path: str, data: bytes | None) -> t.Any:
        headers = {"Authorization": [f"Bearer {self.token}"]}
        try:
            response = await treq.request(
                method,
                self.base + path,
                headers=headers,
                data=data,
                timeout=CALL_TIMEOUT_S,
            )
            answer = json.loads(await response.content())
        except Exception as exc:
            raise CallRefusedError(
                f"{self.base} gave no valid JSON answer ({type(exc).__name__}).",
                "Check the address or call another entry; "
                "repeating an apply is harmless.",
            ) from exc
        if response.code >= 400:
            raise _make_error(answer)
        return answer


def _make_error(answer: dict[str, str]) -> FigheadError:
    cls = ConflictError if answer.get("outcome") == "conflict" else CallRefusedError
    return cls(
        answer.get("reason", "The entry refused the call without giving a reason."),
        answer.get("remedy", ""),
    )
