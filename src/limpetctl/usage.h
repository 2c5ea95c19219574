#pragma once

namespace limpet {

constexpr auto ctlVersion = "limpetctl 0.1";

/// Text of --help, from which the command line is parsed.
constexpr auto ctlUsage = R"(limpetctl: operators' client of limpetcroft.

Usage:
  limpetctl check FILE [--json]
  limpetctl diff FILE [--store=ADDRESS] [--json]
  limpetctl apply FILE [--who=NAME] [--why=TEXT] [--base=REVISION] [--wait] [--node=ADDRESS] [--limit=SECONDS] [--store=ADDRESS] [--json]
  limpetctl show [--revision=REVISION] [--store=ADDRESS] [--json]
  limpetctl history [--count=COUNT] [--store=ADDRESS] [--json]
  limpetctl revert REVISION [--who=NAME] [--why=TEXT] [--wait] [--node=ADDRESS] [--limit=SECONDS] [--store=ADDRESS] [--json]
  limpetctl outcome REVISION MARK [--store=ADDRESS] [--json]
  limpetctl key issue TEAM [--who=NAME] [--why=TEXT] [--store=ADDRESS] [--json]
  limpetctl key rotate TEAM [--who=NAME] [--why=TEXT] [--store=ADDRESS] [--json]
  limpetctl key withdraw KEYID [--who=NAME] [--why=TEXT] [--store=ADDRESS] [--json]
  limpetctl status [--node=ADDRESS] [--json]
  limpetctl drain NODE [--json]
  limpetctl undrain NODE [--json]
  limpetctl explain METHOD PATH [--team=TEAM] [--node=ADDRESS] [--json]
  limpetctl --help
  limpetctl --version

Options:
  --store=ADDRESS      IP address and port of the store [default: 127.0.0.1:2379].
  --node=ADDRESS       Admin IP address and port of a node [default: 127.0.0.1:9180].
  --who=NAME           Who makes the change; by default the name of the user.
  --why=TEXT           Why; shown in the history.
  --base=REVISION      Apply only if the store holds this revision.
  --wait               Wait until every node that the asked node knows has the change in force.
  --limit=SECONDS      How long to wait [default: 30].
  --revision=REVISION  Show the rules of an earlier revision.
  --count=COUNT        How many entries to show, the newest first [default: 20].
  --team=TEAM          Explain the path for a request of this team.
  --json               Print one JSON document.
  --help               Show this text.
  --version            Show the version.

NODE is the admin IP address and port of the node.

Exit codes: 0 done; 1 refused or invalid; 2 usage; 3 not applied, or nothing could be read; 4 not known whether
applied, the output names the command that finds out; 5 applied, but not in force everywhere when --wait ended.
)";

} // namespace limpet
