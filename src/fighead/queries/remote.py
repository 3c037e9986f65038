"""Queries that the operators' tool sends to an entry over HTTP."""

import datetime as dt
import json
import typing as t

import treq

from ..clock import Clock, sleep
from ..codec import from_json
from ..declaration import diff_inventories, load_folder
from ..model import Revision
from ..operator_client import CALL_TIMEOUT_S, OperatorClient
from .burn import BurnReport
from .page import render_html, render_text
from .status import Status

#: Pause between two polls for whether a revision is in force.
POLL_INTERVAL = dt.timedelta(milliseconds=300)


async def fetch_revision(client: OperatorClient) -> Revision:
    """Return the current revision, which may not be in force at all entries yet."""
    answer = await client.get("/v1/revision")
    return from_json(json.dumps(answer), Revision)


async def plan_change(client: OperatorClient, folder: str) -> tuple[int, list[str]]:
    """Return the current revision's number and the differences of a folder from it.

    Nothing is changed.
    """
    current = await fetch_revision(client)
    new = load_folder(folder)
    return current.number, list(diff_inventories(current.inventory, new))


async def wait_until_in_force(
    client: OperatorClient, clock: Clock, number: int, timeout: dt.timedelta
) -> Status:
    """Poll until all live entries have applied revision ``number``.

    :return: The last status received, also if ``timeout`` passed first.
    """
    deadline = clock.now() + timeout
    while True:
        answer = await client.get("/v1/status")
        status = from_json(json.dumps(answer), Status)
        if status.revision >= number and status.in_force:
            return status
        if clock.now() >= deadline:
            return status
        await sleep(clock, POLL_INTERVAL)


async def fetch_burn_report(client: OperatorClient, output_format: str) -> str:
    """Return the burn report.

    :param output_format: ``json``, ``html`` or else text.
    """
    answer = json.dumps(await client.get("/v1/burn"))
    if output_format == "json":
        return answer
    report = from_json(answer, BurnReport)
    if output_format == "html":
        return render_html(report.rows, report.at)
    return render_text(report.rows)


async def send_work_request(
    entry: str, method: str, upstream: str, caller: str, request_id: str
) -> t.Any:
    """Query or cancel a plan or watch and return the decoded JSON answer.

    :param entry: URL of an entry's caller front.
    :param method: ``GET`` to query, ``DELETE`` to cancel.
    """
    url = f"{entry.rstrip('/')}/v1/{upstream}/work/{request_id}"
    headers = {"Caller": [caller]}
    response = await treq.request(method, url, headers=headers, timeout=CALL_TIMEOUT_S)
    return json.loads(await response.content())
