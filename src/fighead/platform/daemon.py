"""The daemon that runs an entry on the platform."""

import os
import typing as t

from ..clock import Clock
from ..exceptions import SettingsError
from ..fronts.job import JobCodec
from ..http_client import HttpPool
from ..job_entry import JobEntry
from ..job_settings import JobSettings
from ..log import Event, configure_logging, log_event
from ..process_load import AllCallCounts
from ..run import RegisteredInstance
from ..runtime import end_reactor, make_clock, reactor, run_until_stopped
from ..tasks.scheduler import PlatformAdapter
from . import config, instance, submission
from .settings import SETTINGS_PATH_VARIABLE, load_platform_settings
from .store import PlatformStoreClient

#: Request header with the time that the client will wait for a response.
DEADLINE_HEADER = "Fighead-Deadline-Ms"
#: Connections to the store: one per watch, the rest for other calls.
MAX_STORE_CONNECTIONS = 12
#: Connections to each instance: one for listings, the rest for orders.
MAX_INSTANCE_CONNECTIONS = 4
#: Connections to each instance beside these, while those hold calls without answers.
MAX_EXTRA_INSTANCE_CONNECTIONS = 4


def make_codec() -> JobCodec:
    """Return the decoders and encoders of the platform's client API."""
    return JobCodec(
        DEADLINE_HEADER,
        submission.validate_job_id,
        submission.decode_submission,
        submission.encode_phase,
        submission.encode_pending,
        submission.encode_error,
    )


def make_adapter(cfg: JobSettings, clock: Clock, reactor: t.Any) -> PlatformAdapter:
    """Return the store client, the instance clients and the platform's decoders.

    Connections are opened on the first call.
    """
    store_pool = HttpPool(reactor, clock, MAX_STORE_CONNECTIONS)
    instance_pool = HttpPool(
        reactor, clock, MAX_INSTANCE_CONNECTIONS, MAX_EXTRA_INSTANCE_CONNECTIONS
    )

    def make_client(registered: RegisteredInstance) -> instance.PlatformInstanceClient:
        return instance.PlatformInstanceClient(instance_pool, registered)

    return PlatformAdapter(
        PlatformStoreClient(store_pool, cfg.store_address),
        config.OPERATOR_PREFIX,
        config.CONFIG_KEY,
        instance.INSTANCES_PREFIX,
        config.decode_config,
        instance.decode_instance,
        make_client,
        lambda: AllCallCounts(store_pool.counts(), instance_pool.counts()),
        config.EVACUATION_PREFIX,
        config.is_evacuation,
    )


def serve(path: str = "") -> None:
    """Run one entry on the platform; returns after a planned stop.

    :param path: Settings file; by default the one named by the environment
        variable ``FIGHEAD_BOOT``.
    :raises SettingsError: If there is no settings file or it has errors.
    """
    path = path or os.environ.get(SETTINGS_PATH_VARIABLE, "")
    if not path:
        raise SettingsError(
            f"{SETTINGS_PATH_VARIABLE} is not set.",
            "Set it to the path of the settings file.",
        )
    cfg = load_platform_settings(path)
    configure_logging(cfg.name)
    clock = make_clock()
    adapter = make_adapter(cfg, clock, reactor)
    entry = JobEntry(cfg, adapter, make_codec(), clock, reactor, end_reactor)
    reactor.callWhenRunning(entry.start)
    run_until_stopped(entry.stop, lambda: _reload(path, entry))


def _reload(path: str, entry: JobEntry) -> None:
    """Reload the settings; if the file has errors, keep the current settings."""
    try:
        entry.reload(load_platform_settings(path))
    except SettingsError as exc:
        log_event(Event.SETTINGS_REFUSED, reason=exc.message)
