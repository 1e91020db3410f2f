"""Tests of the configuration's models, differences and distribution."""
