"""Operators' library: writes a configuration in Python and renders it into documents.

Examples
--------
>>> draft = create_draft()
>>> onsite = draft.add_tier("onsite", deadline_ms=10_000, first_token_ms=1_000)
>>> quill = draft.add_model("quill")
>>> coast = draft.add_data_centre("victoria", region="coast")
>>> gen_a = draft.add_generation(
...     "gen-a", prefill_tokens_per_s=4_000, decode_tokens_per_s=120, batch_slots=8
... )
>>> engine = draft.add_engine("engine-0", coast, "10.0.0.1:7000", gen_a, models=[quill])
>>> studio = draft.add_workspace("studio", tiers=[onsite], models=[quill], keys=["not a real key"])
>>> render_draft(draft, version=1).stamp.version
1
"""

from guavawalk.version.authoring import advice, diff, draft, files, render
from guavawalk.version.authoring.advice import *
from guavawalk.version.authoring.diff import *
from guavawalk.version.authoring.draft import *
from guavawalk.version.authoring.files import *
from guavawalk.version.authoring.render import *

__all__ = [*advice.__all__, *diff.__all__, *draft.__all__, *files.__all__, *render.__all__]
