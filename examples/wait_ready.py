"""Waits until an entry answers, or until every resource is claimed."""

import json
import os
import sys
import time
import urllib.request

url, wants_claims = sys.argv[1], len(sys.argv) > 2
request = urllib.request.Request(
    url, headers={"Authorization": f"Bearer {os.environ['FIGHEAD_TOKEN']}"}
)
for _ in range(300):
    try:
        with urllib.request.urlopen(request, timeout=2) as answer:
            status = json.load(answer)
    except OSError:
        status = None
    if status and status["members"] and not (wants_claims and status["unclaimed"]):
        sys.exit(0)
    time.sleep(0.1)
sys.exit("The entry at " + url + " did not get ready.")
