"""Rules of one target's dispatch window, from a version of the configuration."""

from typing import NamedTuple

from guavawalk.version.types import Configuration, Generation

__all__ = ["FIRST_TOKEN_TARGET_MS", "GAP_TARGET_MS", "WindowRules", "window_rules"]

# Latencies that the control of a window aims at: to the first token, and between two tokens of a
# stream.
FIRST_TOKEN_TARGET_MS = 320.0
GAP_TARGET_MS = 55.0
# Gap that the window of a slow generation aims at, as a multiple of the gap in its full batch.
SLOW_GENERATION_FACTOR = 1.25
MS_PER_S = 1000.0


class WindowRules(NamedTuple):
    """Rules of a dispatch window.

    Attributes
    ----------
    reserved_shares : tuple of float
        By rank: share of the window reserved for this rank and more urgent ones, from 0 to 1.
    batch_slots : int
        Requests that the engine batches; 0 if not known.
    prefill_tokens_per_s : float
        Nominal prefill rate of the engine; 0.0 if not known.
    first_token_target_ms : float
        Time to the first token that the window aims at.
    gap_target_ms : float
        Time between two tokens of a stream that the window aims at.
    """

    reserved_shares: tuple[float, ...] = ()
    batch_slots: int = 0
    prefill_tokens_per_s: float = 0.0
    first_token_target_ms: float = FIRST_TOKEN_TARGET_MS
    gap_target_ms: float = GAP_TARGET_MS


def window_rules(configuration: Configuration | None, target_name: str) -> WindowRules:
    """Return the rules of a target's window.

    Parameters
    ----------
    configuration : Configuration, optional
        Version in force; None for the defaults.
    target_name : str
        Name of the target. If it is unknown or has no generation, all values but the reserved
        shares are defaults.

    Notes
    -----
    The gap target is `SLOW_GENERATION_FACTOR` times the gap between tokens of the generation's full
    batch, but at least `GAP_TARGET_MS`.
    """
    if configuration is None:
        return WindowRules()
    tiers = sorted(configuration.tiers.values(), key=lambda tier: tier.rank)
    shares = tuple(min(max(tier.reserved_share, 0.0), 1.0) for tier in tiers)
    target = configuration.targets.get(target_name)
    generation = configuration.generations.get(target.generation) if target else None
    if generation is None:
        return WindowRules(shares)
    return WindowRules(
        reserved_shares=shares,
        batch_slots=generation.batch_slots,
        prefill_tokens_per_s=generation.prefill_tokens_per_s,
        gap_target_ms=_gap_target_ms(generation),
    )


def _gap_target_ms(generation: Generation) -> float:
    if generation.decode_tokens_per_s <= 0:
        return GAP_TARGET_MS
    full_batch_gap_ms = MS_PER_S / generation.decode_tokens_per_s
    return max(GAP_TARGET_MS, SLOW_GENERATION_FACTOR * full_batch_gap_ms)
