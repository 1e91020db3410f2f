"""Tests of the cardamomnotch workspace."""
