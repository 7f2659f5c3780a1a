"""Short soak runs beside unruly callers; for longer ones ``make unruly-soak``."""

from __future__ import annotations

import pytest

from soak.unruly import run_seed

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 2])
def test_a_daemon_holds_beside_waves_of_unruly_callers_and_faults(tmp_path, seed):
    result = run_seed(seed, tmp_path, SECONDS)
    assert result.violations == []
    assert result.callers
    assert result.faults
