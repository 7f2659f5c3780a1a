"""The home regions of requests, from the configuration. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterator

from ..core import Application
from ..customers.model import Customer
from ..eligibility.model import NO_REQUIREMENTS, Homes, Requirements
from ..entry.config import Route, RoutingConfig
from ..ids import CustomerName, RegionName, RouteName
from .region_map import RegionMap

_CacheKey = tuple[RouteName, Homes, CustomerName | None, Homes]
MAX_CACHED = 4096
"""Cached pairs of route and customer; more of them are only computed again."""


def intersect(*homes: Homes) -> Homes:
    """Return the regions that all of the given home regions allow."""
    limits = [regions for regions in homes if regions is not None]
    return frozenset.intersection(*limits) if limits else None


class HomeRegions:
    """The home regions of the configuration in force.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    regions : RegionMap
        The regions of failure domains.
    """

    def __init__(self, core: Application, regions: RegionMap) -> None:
        self._core = core
        self._regions = regions
        self._routes: dict[RouteName, Route] = {}
        self._paths: dict[tuple[str, str], Route] = {}
        self._customers: dict[CustomerName, Customer] = {}
        self._of_customers: Homes = None
        self._of_hosts: dict[str, Homes] = {}
        self._cache: dict[_CacheKey, Requirements] = {}
        self.is_configured = False
        """Whether a route or customer of the configuration has home regions."""

    def update(self, config: RoutingConfig) -> None:
        """Apply a new version of the configuration, and log its errors."""
        self._routes = {route.name: route for route in config.routes}
        self._paths = {_path_of(route): route for route in config.routes}
        self._customers = config.customers or {}
        self._cache.clear()
        self._of_customers = intersect(
            *(customer.home_regions for customer in self._customers.values())
        )
        self._of_hosts = {}
        for route in config.routes:
            host = route.host.lower()
            known = self._of_hosts.get(host, self._of_customers)
            self._of_hosts[host] = intersect(known, route.home_regions)
        self.is_configured = self._of_customers is not None or any(
            homes is not None for homes in self._of_hosts.values()
        )
        errors = 0
        for route, customer, problem in self._errors():
            errors += 1
            self._core.events.error(
                "home_regions_invalid",
                version=config.version,
                route=route,
                customer=customer,
                problem=problem,
            )
        self._core.metrics.home_region_errors.set({}, errors)

    def _errors(self) -> Iterator[tuple[str, str, str]]:
        """Yield the route, the customer and the problem of each invalid entry.

        A pair of route and customer is only reported if each of them is valid alone.
        """
        routes = [r for r in self._routes.values() if r.home_regions is not None]
        customers = [c for c in self._customers.values() if c.home_regions is not None]
        for route in routes:
            if problem := self._problem(route.home_regions):
                yield route.name, "", problem
        for customer in customers:
            if problem := self._problem(customer.home_regions):
                yield "", customer.name, problem
        for route in routes:
            for customer in customers:
                if self._is_unusable(route) or self._is_unusable(customer):
                    continue
                if not self._known(route.home_regions & customer.home_regions):
                    yield route.name, customer.name, "no home region in common"

    def _problem(self, homes: frozenset[RegionName]) -> str:
        if not homes:
            return "no home region"
        unknown = homes - self._regions.names
        return f"unknown regions: {', '.join(sorted(unknown))}" if unknown else ""

    def _is_unusable(self, entry: Route | Customer) -> bool:
        return not self._known(entry.home_regions)

    def _known(self, homes: frozenset[RegionName]) -> frozenset[RegionName]:
        return homes & self._regions.names

    def requirements(self, route: Route, customer: Customer | None) -> Requirements:
        """Return what a request requires that was accepted with these values.

        If the home regions have changed since then, both the old and the new ones
        apply, so that a request goes nowhere that either of them forbids. Regions
        without a known failure domain contain no endpoint.
        """
        accepted = None if customer is None else customer.home_regions
        if not self.is_configured and route.home_regions is None and accepted is None:
            return NO_REQUIREMENTS
        name = None if customer is None else customer.name
        key = (route.name, route.home_regions, name, accepted)
        requirements = self._cache.get(key)
        if requirements is None:
            requirements = self._compute(route, customer)
            if len(self._cache) >= MAX_CACHED:
                self._cache.clear()
            self._cache[key] = requirements
        return requirements

    def _compute(self, route: Route, customer: Customer | None) -> Requirements:
        entries: list[Route | Customer] = [route]
        # A renamed route is found by its host and prefix.
        current = self._routes.get(route.name) or self._paths.get(_path_of(route))
        if current is not None:
            entries.append(current)
        if customer is not None:
            entries.append(customer)
            if customer.name in self._customers:
                entries.append(self._customers[customer.name])
        homes = intersect(*(entry.home_regions for entry in entries))
        return NO_REQUIREMENTS if homes is None else Requirements(homes)

    def common_to_host(self, host: str) -> Homes:
        """Return the regions that are homes for all that may call a host.

        These are its routes with home regions, and all customers that have some. The
        result is None if there are none, and empty if no region is common to all.
        """
        name = host.lower().partition(":")[0]
        return self._of_hosts.get(name, self._of_customers)


def _path_of(route: Route) -> tuple[str, str]:
    return route.host.lower(), route.prefix
