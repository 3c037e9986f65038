"""Waits until the status of an entry lists members, then exits with 0.

Arguments: URL of the status; with any second one, also waits until no resource is
unclaimed.
"""

import json
import os
import sys
import time
import urllib.request

url, requires_claims = sys.argv[1], len(sys.argv) > 2
request = urllib.request.Request(
    url, headers={"Authorization": f"Bearer {os.environ['FIGHEAD_TOKEN']}"}
)
for _ in range(300):
    try:
        with urllib.request.urlopen(request, timeout=2) as answer:
            status = json.load(answer)
    except OSError:
        status = None
    if status and status["members"] and not (requires_claims and status["unclaimed"]):
        sys.exit(0)
    time.sleep(0.1)
sys.exit("The entry at " + url + " was not ready after 300 attempts; check its log.")
