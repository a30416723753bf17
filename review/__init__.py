"""An independent review: cases that break rules, played outside CI."""
