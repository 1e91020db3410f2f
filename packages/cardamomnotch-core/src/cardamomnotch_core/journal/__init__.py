"""The request journal: claims, outcomes and billing totals, by partition."""
