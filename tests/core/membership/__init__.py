"""Tests of upstream and peer tables, liveness and process pauses."""
