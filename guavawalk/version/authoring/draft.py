"""Drafts of a configuration, which operators write with Python calls."""

from collections.abc import Iterable, Sequence
from typing import Any

from guavawalk.exception import ConfigurationError
from guavawalk.version.authoring.checks import (
    check_address,
    check_at_least,
    check_count,
    check_fraction,
    check_known,
    check_name,
    check_strings,
    digest_keys,
    names_of,
)
from guavawalk.version.types import (
    Crossing,
    DataCentre,
    DesiredState,
    Generation,
    Model,
    Service,
    Target,
    Tier,
    Workspace,
    WorkspaceLimits,
)

__all__ = ["Draft", "create_draft"]

ENGINE_ROLES = ("mixed", "prefill", "decode")


class Draft:
    """Items of a configuration, each checked as it is added.

    Notes
    -----
    Each `add_*` method returns the item that it added. Pass this item on wherever it is referred
    to, so that editors can complete it and a misspelt name fails at once. Every method raises
    `ConfigurationError`, which states the path of the field and what is allowed.
    """

    def __init__(self) -> None:
        self.tiers: dict[str, Tier] = {}
        self.data_centres: dict[str, DataCentre] = {}
        self.crossings: dict[frozenset[str], Crossing] = {}
        self.generations: dict[str, Generation] = {}
        self.models: dict[str, Model] = {}
        self.services: dict[str, Service] = {}
        self.targets: dict[str, Target] = {}
        self.workspaces: dict[str, Workspace] = {}
        self._owner_of_address: dict[str, str] = {}
        self._owner_of_key: dict[str, str] = {}

    def add_tier(
        self,
        name: str,
        *,
        deadline_ms: int = 60_000,
        first_token_ms: int = 10_000,
        reserved_share: float = 0.0,
        rank: int | None = None,
    ) -> Tier:
        """Add a tier, a priority class of requests.

        Parameters
        ----------
        deadline_ms : int
            Time limit of requests that state none.
        first_token_ms : int
            Intended time to the first token; it does not affect scheduling.
        reserved_share : float
            Share of each target's dispatch window reserved for this tier and more urgent ones, from
            0 to 1.
        rank : int, optional
            Urgency; 0 is the most urgent. Without it, the tier ranks after all added before.
            `render_draft` refuses ranks with gaps.
        """
        field_path = check_name("tiers", name, self.tiers)
        check_count(f"{field_path}.deadline_ms", deadline_ms, 1)
        check_count(f"{field_path}.first_token_ms", first_token_ms, 1)
        check_fraction(f"{field_path}.reserved_share", reserved_share)
        rank = len(self.tiers) if rank is None else rank
        check_count(f"{field_path}.rank", rank, 0)
        tier = Tier(name, rank, deadline_ms, first_token_ms, float(reserved_share))
        self.tiers[name] = tier
        return tier

    def add_data_centre(self, name: str, *, region: str) -> DataCentre:
        """Add a data centre in a region."""
        check_name("data_centres", name, self.data_centres)
        check_name(f"data_centres.{name}.region", region, {})
        centre = DataCentre(name, region)
        self.data_centres[name] = centre
        return centre

    def add_crossing(
        self, a: DataCentre, b: DataCentre, *, delay_ms: float, price: float = 0.0
    ) -> Crossing:
        """Add the cost of traffic between two data centres, the same in both directions.

        Parameters
        ----------
        delay_ms : float
            One-way delay.
        price : float
            Price relative to other crossings; 0 for none.
        """
        names = names_of((a, b))
        field_path = f"crossings.{'-'.join(names)}"
        check_known(field_path, (a, b), self.data_centres)
        pair = frozenset(names)
        if len(pair) == 1 or pair in self.crossings:
            raise ConfigurationError(
                field_path,
                "found a second one, or a data centre twice, allowed is one crossing for each pair",
            )
        check_at_least(f"{field_path}.delay_ms", delay_ms, 0)
        check_at_least(f"{field_path}.price", price, 0)
        first, second = sorted(pair)
        crossing = Crossing(first, second, float(delay_ms), float(price))
        self.crossings[pair] = crossing
        return crossing

    def add_generation(
        self,
        name: str,
        *,
        prefill_tokens_per_s: float,
        decode_tokens_per_s: float,
        batch_slots: int,
        cache_tokens: int = 0,
    ) -> Generation:
        """Add a generation of hardware, with the speed of one target on it.

        Parameters
        ----------
        prefill_tokens_per_s : float
            Prefill rate of the target.
        decode_tokens_per_s : float
            Decoding rate of one request in a full batch.
        batch_slots : int
            Requests in a full batch.
        cache_tokens : int
            Capacity of the prefix cache in tokens; 0 if not known.
        """
        field_path = check_name("generations", name, self.generations)
        check_at_least(
            f"{field_path}.prefill_tokens_per_s", prefill_tokens_per_s, 0, exclusive=True
        )
        check_at_least(f"{field_path}.decode_tokens_per_s", decode_tokens_per_s, 0, exclusive=True)
        check_count(f"{field_path}.batch_slots", batch_slots, 1)
        check_count(f"{field_path}.cache_tokens", cache_tokens, 0)
        speeds = (float(prefill_tokens_per_s), float(decode_tokens_per_s))
        generation = Generation(name, *speeds, batch_slots, cache_tokens)
        self.generations[name] = generation
        return generation

    def add_model(
        self, name: str, *, context_tokens: int = 131_072, expected_output_tokens: int = 256
    ) -> Model:
        """Add a model that callers may request.

        Parameters
        ----------
        context_tokens : int
            Largest total length of prompt and answer.
        expected_output_tokens : int
            Expected length of an answer for which the caller sets no limit.
        """
        field_path = check_name("models", name, self.models)
        check_count(f"{field_path}.context_tokens", context_tokens, 1)
        check_count(f"{field_path}.expected_output_tokens", expected_output_tokens, 1)
        model = Model(name, context_tokens, expected_output_tokens)
        self.models[name] = model
        return model

    def add_service(
        self,
        path: str,
        *,
        idempotent_methods: Sequence[str] = ("GET", "HEAD", "OPTIONS"),
        deadline_ms: int = 10_000,
    ) -> Service:
        """Add a plain service, which runs no model.

        Parameters
        ----------
        path : str
            First segment of its URLs, which serves as its name.
        idempotent_methods : sequence of str
            HTTP methods whose requests may run more than once.
        deadline_ms : int
            Time limit of requests that state none.
        """
        field_path = check_name("services", path, self.services)
        check_count(f"{field_path}.deadline_ms", deadline_ms, 1)
        methods = check_strings(f"{field_path}.idempotent_methods", idempotent_methods)
        service = Service(path, methods, deadline_ms)
        self.services[path] = service
        return service

    def add_engine(
        self,
        name: str,
        data_centre: DataCentre,
        sidecar: str,
        generation: Generation,
        *,
        models: Sequence[Model],
        adapters: Sequence[str] = (),
        role: str = "mixed",
        checks_fencing: bool = False,
    ) -> Target:
        """Add a target that runs models.

        Parameters
        ----------
        sidecar : str
            Address of its sidecar, `IP:port`, which no other target may have.
        models, adapters : sequence
            Models and adapters that it loads.
        role : str
            `mixed`, `prefill` or `decode`; one with `prefill` only fills caches for other engines.
        checks_fencing : bool
            Whether the engine rejects orders with an old fencing number.
        """
        field_path = check_name("targets", name, self.targets)
        check_known(f"{field_path}.generation", (generation,), self.generations)
        check_known(f"{field_path}.models", models, self.models)
        if role not in ENGINE_ROLES:
            problem = f"found {role!r:.80}, allowed is one of {', '.join(ENGINE_ROLES)}"
            raise ConfigurationError(f"{field_path}.role", problem)
        target = Target(
            name=name,
            kind="model",
            data_centre=data_centre,
            sidecar=sidecar,
            generation=generation.name,
            desired=DesiredState(
                names_of(models), check_strings(f"{field_path}.adapters", adapters), role
            ),
            checks_fencing=bool(checks_fencing),
        )
        return self._add_target(field_path, target, data_centre)

    def add_service_target(
        self, name: str, data_centre: DataCentre, sidecar: str, service: Service
    ) -> Target:
        """Add a target that serves a plain service; `sidecar` is `IP:port`."""
        field_path = check_name("targets", name, self.targets)
        check_known(f"{field_path}.service", (service,), self.services, "path")
        target = Target(name, "service", data_centre, sidecar, service=service.path)
        return self._add_target(field_path, target, data_centre)

    def _add_target(self, field_path: str, target: Target, data_centre: DataCentre) -> Target:
        check_known(f"{field_path}.data_centre", (data_centre,), self.data_centres)
        check_address(f"{field_path}.sidecar", target.sidecar)
        owner = self._owner_of_address.setdefault(target.sidecar, target.name)
        if owner != target.name:
            raise ConfigurationError(
                f"{field_path}.sidecar", f"{target.sidecar} is also the address of target {owner}"
            )
        target = target._replace(data_centre=data_centre.name)
        self.targets[target.name] = target
        return target

    def retire_target(self, target: Target | str) -> Target:
        """Mark a target as leaving: it gets no new requests, and running ones continue."""
        name = target if isinstance(target, str) else target.name
        if name not in self.targets:
            raise ConfigurationError(f"targets.{name}", "no such target is defined in the draft")
        self.targets[name] = self.targets[name]._replace(leaving=True)
        return self.targets[name]

    def add_workspace(
        self,
        name: str,
        *,
        tiers: Sequence[Tier],
        default_tier: Tier | None = None,
        models: Sequence[Model] = (),
        services: Sequence[Service] = (),
        data_centres: Sequence[DataCentre] = (),
        keys: Iterable[str] = (),
        key_digests: Iterable[str] = (),
        weight: float = 1.0,
        requests_per_s: float = 0.0,
        prompt_tokens_per_s: float = 0.0,
        long_requests: int = 0,
    ) -> Workspace:
        """Add a workspace.

        Parameters
        ----------
        default_tier : Tier, optional
            Tier of requests that name none; None for the first of `tiers`.
        data_centres : sequence of DataCentre
            Data centres in which its requests may run; empty for all.
        keys, key_digests : iterable of str
            API keys, of which only digests are kept, and hex digests of further keys.
        weight : float
            Weight of its share beside other workspaces when a queue is full; above 0.
        requests_per_s, prompt_tokens_per_s : float
            Rate limits over all targets and entries; 0 for no limit.
        long_requests : int
            Limit on long requests that run at once; 0 for no limit.
        """
        field_path = check_name("workspaces", name, self.workspaces)
        self._check_workspace_references(field_path, tiers, models, services, data_centres)
        default = default_tier or tiers[0]
        check_known(f"{field_path}.default_tier", (default,), {tier.name: tier for tier in tiers})
        check_at_least(f"{field_path}.weight", weight, 0, exclusive=True)
        check_at_least(f"{field_path}.limits.requests_per_s", requests_per_s, 0)
        check_at_least(f"{field_path}.limits.prompt_tokens_per_s", prompt_tokens_per_s, 0)
        check_count(f"{field_path}.limits.long_requests", long_requests, 0)
        limits = WorkspaceLimits(float(requests_per_s), float(prompt_tokens_per_s), long_requests)
        digests = digest_keys(field_path, keys, key_digests)
        self._assign_keys(field_path, name, digests)
        workspace = Workspace(
            name=name,
            key_digests=digests,
            tiers=names_of(tiers),
            default_tier=default.name,
            models=names_of(models),
            services=names_of(services, "path"),
            data_centres=names_of(data_centres),
            weight=float(weight),
            limits=limits,
        )
        self.workspaces[name] = workspace
        return workspace

    def _check_workspace_references(
        self, field_path, tiers, models, services, data_centres
    ) -> None:
        if not tiers:
            raise ConfigurationError(
                f"{field_path}.tiers", "found none, allowed is one tier or more"
            )
        check_known(f"{field_path}.tiers", tiers, self.tiers)
        check_known(f"{field_path}.models", models, self.models)
        check_known(f"{field_path}.services", services, self.services, "path")
        check_known(f"{field_path}.data_centres", data_centres, self.data_centres)

    def _assign_keys(self, field_path: str, name: str, digests: Sequence[str]) -> None:
        for digest in digests:
            owner = self._owner_of_key.setdefault(digest, name)
            if owner != name:
                raise ConfigurationError(
                    f"{field_path}.keys", f"one of the keys also belongs to workspace {owner}"
                )

    def parts(self) -> dict[str, list[Any]]:
        """Return all items by field of `ShardDocument`.

        They are sorted, so that drafts with equal items give equal documents in whatever order the
        items were added.
        """
        return {
            "tiers": sorted(self.tiers.values(), key=lambda tier: (tier.rank, tier.name)),
            "data_centres": sorted(self.data_centres.values()),
            "crossings": sorted(self.crossings.values()),
            "generations": sorted(self.generations.values()),
            "models": sorted(self.models.values()),
            "services": sorted(self.services.values()),
            "targets": sorted(self.targets.values()),
            "workspaces": sorted(self.workspaces.values()),
        }


def create_draft() -> Draft:
    """Create an empty draft."""
    return Draft()
