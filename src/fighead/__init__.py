"""fighead schedules latency-critical and batch work on shared instances.

A daemon needs settings, a clock and a reactor:

    cfg = load_settings("entry.ini")
    clock = ReactorClock(reactor, datetime.datetime.now(datetime.UTC))
    Entry(cfg, clock, reactor, on_end=reactor.stop).start()
"""

from .clock import Clock as Clock
from .clock import ReactorClock as ReactorClock
from .commands.apply import Change as Change
from .commands.apply import apply_change as apply_change
from .commands.check import run_check as run_check
from .commands.work import cancel_work as cancel_work
from .commands.work import submit_work as submit_work
from .declaration import load_folder as load_folder
from .entry import Entry as Entry
from .exceptions import ConflictError as ConflictError
from .exceptions import DeclarationError as DeclarationError
from .exceptions import FigheadError as FigheadError
from .exceptions import NotRunError as NotRunError
from .exceptions import RequestError as RequestError
from .exceptions import SettingsError as SettingsError
from .exceptions import StoreError as StoreError
from .model import Inventory as Inventory
from .queries.status import read_status as read_status
from .queries.work import find_work as find_work
from .settings import EntrySettings as EntrySettings
from .settings import load_settings as load_settings
