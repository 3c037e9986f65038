"""fighead schedules latency-critical and batch work on shared instances."""

from .exceptions import FigheadError as FigheadError
from .model import Inventory as Inventory
from .settings import EntrySettings as EntrySettings
from .settings import load_settings as load_settings
