"""Settings files as rendered by the platforms."""

from __future__ import annotations

import pytest

from chutelink.settings import (
    DEFAULT_MEMORY_MB,
    EntrySettings,
    decode_settings,
    describe_settings,
)

from .processes.entry_deployment import ROOT, render


def render_entry_settings(
    zones: dict[str, str] | None = None, memory_mb: str = "300", **bounds: str
) -> str:
    """Return the deployed template, rendered with example values."""
    fields = dict.fromkeys(
        (
            *("contact_ms", "config_apply_ms", "drain_ms", "lease_ms"),
            *("grace_s", "retry_slack", "budget_window_s", "ceiling_window_s"),
        ),
        "8",
    )
    fields |= {"retry_ratio": "0.2", "ceiling_excess": "1.1"} | bounds
    values = {f"bounds.{name}": value for name, value in fields.items()}
    ip = "10.0.0.1"
    values |= {"node": "vm-1", "zone": "a", "ip": ip, "seeds": f"{ip}:3"}
    values |= {"provider.address": f"{ip}:1"}
    values |= {f"listen.{n}": f"{ip}:2" for n in ("front", "ready", "directory")}
    values |= {"listen.control": f"{ip}:3"}
    values |= {"limits.cpu_share": "0.5", "limits.cores": "1"}
    values["limits.memory_mb"] = memory_mb
    values["zones"] = zones or {}
    return render((ROOT / "deploy" / "entry.ini").read_text(), values)


def test_deployments_that_state_no_memory_use_the_default():
    """Daemons did not start without it."""
    text = render_entry_settings(memory_mb="")
    settings, problems = decode_settings(text, "entry.ini", EntrySettings)
    assert problems == []
    assert settings.entry.memory_mb == DEFAULT_MEMORY_MB


@pytest.mark.parametrize(
    "bounds",
    [
        {},
        {"retry_slack": "39.5", "contact_ms": "2500.5", "config_apply_ms": "1e3"},
        {"quota_window_s": "8", "quota_excess": "0.1", "quota_slack": "26829.3"},
    ],
)
def test_bounds_accept_fractions(bounds):
    """A daemon with a retry bound of 39.5 used to fail at startup."""
    settings, problems = decode_settings(
        render_entry_settings(**bounds), "entry.ini", EntrySettings
    )
    assert problems == []
    assert settings.entry.retry_slack == float(bounds.get("retry_slack", "8"))
    assert settings.entry.quota_slack == float(bounds.get("quota_slack", "0"))


@pytest.mark.parametrize(
    "bounds", [{"retry_slack": "-1"}, {"drain_ms": "0"}, {"lease_ms": "soon"}]
)
def test_invalid_bounds_are_rejected(bounds):
    """Each invalid bound is reported as one problem."""
    _, problems = decode_settings(
        render_entry_settings(**bounds), "entry.ini", EntrySettings
    )
    assert len(problems) == 1


def test_regions_of_failure_domains_keep_their_case():
    """Guards against a domain that matches no endpoint because of its spelling."""
    zones = {"zone-A.1": "North", "2b": "south-1"}
    settings, problems = decode_settings(
        render_entry_settings(zones=zones), "entry.ini", EntrySettings
    )
    assert problems == []
    assert settings.regions == zones
    assert "zone-A.1 = North" in describe_settings(settings)
    text = render_entry_settings()
    assert decode_settings(text, "entry.ini", EntrySettings)[0].regions == {}
    _, problems = decode_settings(f"{text}\na =\n", "entry.ini", EntrySettings)
    assert [problem.key for problem in problems] == ["a"]
