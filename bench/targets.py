"""Targets that measured figures are compared with."""

__all__ = ["TARGETS", "Target", "check_target"]

from dataclasses import dataclass


@dataclass(slots=True)
class Target:
    """A bound on one figure, as stated in docs/design.md.

    Attributes:
        bound: Value of the bound, in the unit of the figure.
        is_lower_bound: Whether the figure must reach the bound; otherwise it must not exceed it.
    """

    bound: float
    is_lower_bound: bool = False

    def is_met_by(self, figure: float) -> bool:
        """Whether a figure meets the target."""
        return figure >= self.bound if self.is_lower_bound else figure <= self.bound


TARGETS: dict[str, Target] = {
    "policies.broken_flows_planned_changes": Target(0),
    "policies.broken_flows_balancer_killed": Target(0),
    "policies.extra_hop_share_after_5s": Target(0.01),
    "policies.requests_lost_or_doubled": Target(0),
    "policies.not_run_but_run": Target(0),
    "policies.cold_over_bound": Target(0),
    "policies.slot_imbalance_70_percent": Target(1.10),
    "policies.answered_share_data_centre_change": Target(0.999, is_lower_bound=True),
    "policies.packets_to_removed_data_centre": Target(0),
    "policies.new_work_to_leaving_upstream": Target(0),
    "policies.cross_customer_packets": Target(0),
    "propagation.seconds_until_last_5_percent_loss": Target(3.0),
    "catalog.bytes_per_upstream": Target(190),
    "forwarding.ratio_to_bare_relay": Target(0.5, is_lower_bound=True),
    "decision.cost_ratio_large_to_small": Target(1.30),
    "memory.balancer_process_mb": Target(64),
}


def check_target(name: str, figure: float) -> str:
    """Returns "ok" or "MISSED" for a figure by its name, or "" when it has no target."""
    target = TARGETS.get(name)
    if target is None:
        return ""
    return "ok" if target.is_met_by(figure) else "MISSED"
