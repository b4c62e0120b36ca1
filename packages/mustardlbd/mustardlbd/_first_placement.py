"""Placement on any engine that holds the model, loading it where none does."""

from collections import abc
import contextlib

from mustardlb import directory as directories
from mustardlb import engine
from mustardlb import errors
from mustardlb import routes
from mustardlb import steps
from mustardlbd import _dependencies


class _Charge:
    """Tokens of one request, which nothing limits yet."""

    def settle(self, tokens: int) -> None:
        """Charge what was used."""


async def reserve(
    account: str, tokens: int, wait: float
) -> _dependencies.Reservation:
    """Set tokens aside."""
    return _Charge()


async def begin(
    account: str, key: str, fingerprint: bytes
) -> _dependencies.Attempt | _dependencies.RecordedOutcome:
    """Refuse, since no record can be kept yet."""
    raise errors.Error(
        errors.Code.RECORD_UNAVAILABLE,
        'bookings cannot be recorded',
        steps.Step.RECORD,
        not_run=True,
    )


class Engines:
    """The engines that the configuration names."""

    def __init__(
        self, directory: abc.Callable[[], directories.Directory]
    ) -> None:
        self._directory = directory
        self._models_by_name: dict[str, set[str]] = {}

    @contextlib.asynccontextmanager
    async def place(
        self, model: str, account: str, wait: float, avoid: frozenset[str]
    ) -> abc.AsyncIterator[_dependencies.Placement]:
        """Give an engine that holds the model."""
        targets = [
            target
            for target in self._directory().targets_by_name.values()
            if target.kind is routes.TargetKind.ENGINE
            and target.state is routes.TargetState.SERVE
            and target.name not in avoid
        ]
        if not targets:
            raise errors.Error(
                errors.Code.NO_TARGET,
                'no engine can take the request',
                steps.Step.PLACEMENT,
                not_run=True,
            )
        target = min(targets, key=lambda one: hash((one.name, model)))
        held = self._models_by_name.setdefault(target.name, set())
        if model not in held:
            await self._load(target, model)
            held.add(model)
        yield _dependencies.Placement(target.name, target.url, model)

    async def _load(self, target: routes.Target, model: str) -> None:
        client = engine.HttpEngine(target.url)
        try:
            await client.load(model, 1)
        except engine.EngineError as error:
            raise errors.Error(
                errors.Code.LOAD_FAILED,
                str(error),
                steps.Step.LOAD,
                target.name,
                not_run=True,
            ) from error
        finally:
            await client.close()
