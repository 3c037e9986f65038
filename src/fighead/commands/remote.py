"""Commands that the operators' tool sends to an entry over HTTP."""

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
    """Apply a folder of declarations as a change to revision ``base``.

    :param change_id: Pass the same id to repeat a change safely; a random one is
        used if it is empty.
    :return: The revision that the change made.
    """
    inventory = load_folder(folder)
    change = Change(inventory, base, author, change_id or uuid.uuid4().hex)
    answer = await client.put("/v1/revision", change)
    return from_json(json.dumps(answer), Revision)


async def drain_entry(client: OperatorClient) -> None:
    """Start a graceful shutdown of the entry; return without waiting for its end."""
    await client.post("/v1/drain")
