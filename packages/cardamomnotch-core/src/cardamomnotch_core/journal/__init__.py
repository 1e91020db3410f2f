"""The request journal: claims, outcomes and bills, by partition."""
