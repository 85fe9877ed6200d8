"""Switch on and report the decisions to leave the availability zone."""

import unittest
from dataclasses import replace

from catkintrack.decisions.services import ensure_service_row
from catkintrack.decisions.zones import find_share, observe_waits
from catkintrack.fleet import Feature
from catkintrack.instance.dump import dump_instance
from catkintrack.instance.zone_choices import (
    record_zone_answer,
    record_zone_choice,
    record_zone_loss,
    report_zone_shares,
    switch_on_zones,
)
from testkit.states import make_instance
from testkit.upstreams import make_response_fields


class ZoneChoiceTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.home = ensure_service_row(self.instance.services, "i1")
        self.away = ensure_service_row(self.instance.services, "i2")
        self.home.zone, self.away.zone = self.instance.site.zone, "other"

    def switch_on(self):
        site = self.instance.site
        features = frozenset({Feature.ADMISSION})
        self.instance.site = replace(site, features=features)
        switch_on_zones(self.instance)
        zones = self.instance.decisions.zones
        observe_waits(zones, "orders", {site.zone: 1.0, "other": 0.0}, 0.0)
        state = find_share(zones, "orders", "other")
        state.share = 0.8
        return state

    def test_nothing_is_decided_or_logged_until_it_is_switched_on(self):
        switch_on_zones(self.instance)
        record_zone_loss(self.instance, "orders", self.away)
        self.assertIsNone(self.instance.services.zones)
        self.assertEqual(record_zone_choice(self.instance, "orders", self.away), {})
        self.assertIsNone(dump_instance(self.instance)["zones"])

    def test_uneven_replicas_switch_it_on(self):
        self.instance.decisions.has_uneven_replicas = True
        switch_on_zones(self.instance)
        self.assertIs(self.instance.services.zones, self.instance.decisions.zones)

    def test_choice_and_share_are_reported(self):
        self.switch_on()
        choice = record_zone_choice(self.instance, "orders", self.away)
        self.assertEqual((choice["zone_choice"], choice["zone_share"]), ("other", 0.8))
        report_zone_shares(self.instance)
        labels = {"service": "orders", "zone": "other"}
        self.assertEqual(self.instance.metrics.zone_share.get(labels), 0.8)
        dumped = dump_instance(self.instance)["zones"]["orders"]
        self.assertEqual(dumped["zones"]["other"], {"share": 0.8, "wait_s": 0.0})

    def test_signs_of_remote_replicas_lower_the_share_at_once(self):
        for row, is_rejected, load, wait_s, wanted in (
            (self.away, True, (0, 0), 0.0, 0.4),
            (self.away, False, (0, 1), 0.0, 0.4),
            (self.away, False, (0, 0), 0.5, 0.4),
            (self.away, False, (0, 0), 0.0, 0.8),
            # Without a load header, what is known is of an earlier response.
            (self.away, False, None, 0.0, 0.8),
            (self.home, True, (0, 1), 0.5, 0.8),
        ):
            self.instance.decisions.zones = None
            state = self.switch_on()
            row.reported_waiting = 1 if load is None else load[1]
            fields = make_response_fields(is_not_run=is_rejected, load=load)
            record_zone_answer(self.instance, "orders", row, fields, wait_s)
            self.assertEqual(state.share, wanted)


if __name__ == "__main__":
    unittest.main()
