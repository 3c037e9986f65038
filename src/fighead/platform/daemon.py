"""The thin daemon that runs an entry on the platform."""

import os
import typing as t

from ..clock import Clock
from ..exceptions import SettingsError
from ..fronts.job import JobCodec
from ..http_client import HttpPool
from ..job_entry import JobEntry
from ..job_settings import JobSettings
from ..log import Event, configure, log_event
from ..run import Instance
from ..runtime import make_clock, reactor, run_until_stopped, stop_reactor
from ..tasks.scheduler import Adapter
from . import config, instance, submission
from .settings import PATH_VARIABLE, load_settings
from .store import PlatformStore

#: Header in which clients say how long they wait.
DEADLINE_HEADER = "Fighead-Deadline-Ms"
#: Connections to the store: one for each watch, and some for calls.
STORE_CONNECTIONS = 12
#: Connections to an instance: one for listings, the others for orders.
INSTANCE_CONNECTIONS = 4


def make_codec() -> JobCodec:
    """Return how the platform's clients write bodies."""
    return JobCodec(
        DEADLINE_HEADER,
        submission.check_job_id,
        submission.decode_submission,
        submission.encode_phase,
        submission.encode_pending,
        submission.encode_error,
    )


def make_adapter(cfg: JobSettings, clock: Clock, reactor: t.Any) -> Adapter:
    """Return the platform's store, instances and formats."""
    store_pool = HttpPool(reactor, clock, STORE_CONNECTIONS)
    instance_pool = HttpPool(reactor, clock, INSTANCE_CONNECTIONS)

    def make_client(known: Instance) -> instance.PlatformInstance:
        return instance.PlatformInstance(instance_pool, known)

    return Adapter(
        PlatformStore(store_pool, cfg.store_address),
        config.OPERATOR,
        config.CONFIG,
        instance.INSTANCES,
        config.decode_config,
        instance.decode_instance,
        make_client,
    )


def serve(path: str = "") -> None:
    """Run one entry by the platform's settings until a planned stop.

    :param path: Settings file; by default the one that the platform names.
    :raises SettingsError: If the settings can't be used.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise SettingsError(
            f"{PATH_VARIABLE} is not set.", "Set it to the path of the settings file."
        )
    cfg = load_settings(path)
    configure(cfg.name)
    clock = make_clock()
    adapter = make_adapter(cfg, clock, reactor)
    entry = JobEntry(cfg, adapter, make_codec(), clock, reactor, stop_reactor)
    reactor.callWhenRunning(entry.start)
    run_until_stopped(entry.stop, lambda: _reload(path, entry))


def _reload(path: str, entry: JobEntry) -> None:
    """Read the settings again; a file with faults changes nothing."""
    try:
        entry.reload(load_settings(path))
    except SettingsError as exc:
        log_event(Event.SETTINGS_REFUSED, reason=exc.message)
