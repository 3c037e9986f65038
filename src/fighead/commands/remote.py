"""Operators' commands, sent to an entry."""

import json
import uuid

from ..codec import from_json
from ..declaration import load_folder
from ..model import Revision
from ..operator_client import OperatorClient
from .apply import Change


async def apply_folder(
    client: OperatorClient,
    folder: str,
    base: int,
    author: str,
    change_id: str = "",
) -> Revision:
    """Send a folder of declarations as a change from revision ``base``."""
    inventory = load_folder(folder)
    change = Change(inventory, base, author, change_id or uuid.uuid4().hex)
    answer = await client.put("/v1/revision", change)
    return from_json(json.dumps(answer), Revision)


async def drain_entry(client: OperatorClient) -> None:
    """Begin the planned stop of the entry."""
    await client.post("/v1/drain")
