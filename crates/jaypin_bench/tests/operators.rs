//! Operators change the rules of a running fleet and read its audit trail with the real
//! command line.

use std::path::PathBuf;

use jaypin_bench::{CommandOutput, Fleet, FleetConfig, jaypin};
use jaypin_standin::Fault;
use serde_json::Value;

/// The rule file that the fleet starts with.
const RULES: &str = jaypin_bench::RULES;

/// A fleet, and a directory for rule files that is removed on drop.
struct TestSetup {
    fleet: Fleet,
    directory: PathBuf,
}

impl TestSetup {
    async fn start() -> Self {
        Self::start_hosts(2).await
    }

    async fn start_hosts(hosts: usize) -> Self {
        let cfg = FleetConfig {
            hosts,
            engines: Vec::new(),
            ..FleetConfig::default()
        };
        let name = format!("jaypin-operators-{:x}", rand::random::<u64>());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("a directory");
        let fleet = Fleet::start(cfg).await.expect("fleet");
        Self { fleet, directory }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }

    /// Runs `jaypin` with arguments and the first host as `--host`.
    async fn jaypin(&self, args: &[&str]) -> CommandOutput {
        let host = self.fleet.hosts[0].operator.to_string();
        jaypin(&[args, &["--host", &host]].concat(), None).await
    }

    async fn apply(&self, file: &str, edited_from: &str, author: &str) -> CommandOutput {
        let head = ["rules", "apply", file, "--edited-from", edited_from];
        let args = [&head[..], &["--author", author]].concat();
        self.jaypin(&args).await
    }

    async fn audit(&self) -> Vec<Value> {
        let done = self.jaypin(&["audit", "--json"]).await;
        assert_eq!(done.code, Some(0), "{}", done.stderr);
        serde_json::from_str(&done.stdout).expect("entries")
    }

    async fn rules_versions(&self) -> Vec<u64> {
        let mut versions = Vec::new();
        for host in &self.fleet.hosts {
            let (_, page) = host.page("/status").await.expect("a status");
            versions.push(page["rules_version"].as_u64().unwrap_or_default());
        }
        versions
    }
}

impl Drop for TestSetup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn with_account(name: &str, requester: &str) -> String {
    format!("{RULES}- {{account: {name}}}  # asked by: {requester}\n")
}

/// Two operators edit the same version and apply at the same time. Only one change may be
/// accepted; the other operator must see who made the accepted change and what it contains,
/// and keeps the rejected file.
#[tokio::test]
async fn of_two_concurrent_changes_one_is_accepted_and_the_other_refused() {
    let setup = TestSetup::start().await;
    let one = setup.file("one.yaml", &with_account("farm-one", "sales, contract 11"));
    let other = setup.file(
        "other.yaml",
        &with_account("farm-two", "sales, contract 12"),
    );
    let (ann, bo) = tokio::join!(
        setup.apply(&one, "1", "ann"),
        setup.apply(&other, "1", "bo")
    );
    let (winner, loser, author, added) = if ann.code == Some(0) {
        (ann, bo, "ann", "farm-one")
    } else {
        (bo, ann, "bo", "farm-two")
    };
    assert_eq!(winner.code, Some(0), "{}", winner.stderr);
    assert!(
        winner
            .stdout
            .contains("version 2 is in force on 2 of 2 hosts")
    );
    assert_eq!(loser.code, Some(1));
    assert!(
        loser
            .stderr
            .contains("version 2 is in force; nothing was changed")
    );
    assert!(loser.stderr.contains(&format!("was changed by {author}")));
    assert!(loser.stderr.contains(&format!("{{account: {added}}}")));
    assert_eq!(setup.rules_versions().await, [2, 2]);
    let entries = setup.audit().await;
    let count = |kind: &str| entries.iter().filter(|entry| entry["kind"] == kind).count();
    assert_eq!((count("accepted"), count("lost-race")), (1, 1));
}

/// The platform applies a write and its response is lost. The command must report that the
/// change is in force, and must not write it a second time.
#[tokio::test]
async fn a_write_whose_response_is_lost_is_confirmed() {
    let setup = TestSetup::start().await;
    let file = setup.file("one.yaml", &with_account("farm-one", "sales, contract 11"));
    setup.fleet.platform.set_fault(Fault::LoseWriteResponses);
    let done = setup.apply(&file, "1", "ann").await;
    assert_eq!(done.code, Some(0), "{}", done.stderr);
    assert!(
        done.stdout
            .contains("version 2 is in force on 2 of 2 hosts")
    );
    assert_eq!(setup.rules_versions().await, [2, 2]);
    let kinds: Vec<Value> = setup
        .audit()
        .await
        .iter()
        .map(|entry| entry["kind"].clone())
        .collect();
    assert_eq!(kinds, ["proposed", "accepted"]);
}

/// A host is frozen while a change is applied. The command must name the host that does not
/// have the change, and must not report that the change is in force everywhere.
#[tokio::test]
async fn a_host_that_does_not_report_the_version_is_named() {
    let setup = TestSetup::start().await;
    let file = setup.file("one.yaml", &with_account("farm-one", "sales, contract 11"));
    setup.fleet.hosts[1].signal("STOP");
    let args = ["rules", "apply", &file, "--edited-from", "1"];
    let more = ["--author", "ann", "--timeout", "3"];
    let done = setup.jaypin(&[&args[..], &more].concat()).await;
    setup.fleet.hosts[1].signal("CONT");
    assert_eq!(done.code, Some(1));
    assert!(done.stdout.contains("version 2 is accepted"));
    assert!(
        done.stderr.contains("don't report it: host-1"),
        "{}",
        done.stderr
    );
}

#[tokio::test]
async fn a_wrong_file_changes_nothing_and_is_in_the_audit_trail() {
    let setup = TestSetup::start().await;
    let wrong = include_str!("../../jaypin_rules/tests/wrong-rules.yaml");
    let file = setup.file("wrong.yaml", wrong);
    let done = setup.apply(&file, "1", "ann").await;
    assert_eq!(done.code, Some(2));
    assert!(done.stderr.contains("30 mistakes, nothing was changed"));
    assert_eq!(setup.rules_versions().await, [1, 1]);
    let entries = setup.audit().await;
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0]["kind"], "refused");
    assert_eq!(entries[0]["author"], "ann");
    let text = entries[0].to_string();
    assert!(!text.contains("a-secret-credential"), "{text}");
}

/// The audit trail names the requester of each accepted change. A change that adds no rule
/// carries no requester in its text, so the command must require one.
#[tokio::test]
async fn a_change_is_traced_to_its_requester() {
    let setup = TestSetup::start().await;
    let added = setup.file(
        "added.yaml",
        &with_account("farm-one", "sales, contract 11"),
    );
    let before = setup.fleet.platform.calls();
    assert_eq!(setup.apply(&added, "1", "ann").await.code, Some(0));
    let after = setup.fleet.platform.calls();
    assert_eq!(after.writes - before.writes, 3);
    let removed = setup.file("removed.yaml", RULES);
    assert_eq!(setup.apply(&removed, "2", "bo").await.code, Some(2));
    let args = [
        "rules",
        "apply",
        &removed,
        "--edited-from",
        "2",
        "--author",
        "bo",
    ];
    let named = [&args[..], &["--asked-by", "sales, end of contract 11"]].concat();
    assert_eq!(setup.jaypin(&named).await.code, Some(0));
    let entries = setup.audit().await;
    let proposed: Vec<_> = entries
        .iter()
        .filter(|entry| entry["kind"] == "proposed")
        .collect();
    assert_eq!(proposed[0]["requesters"][0], "sales, contract 11");
    let line = RULES.lines().count() + 1;
    let rule = "- {account: farm-one}  # asked by: sales, contract 11";
    assert_eq!(proposed[0]["difference"][0], format!("+{line}: {rule}"));
    assert_eq!(proposed[1]["requesters"][0], "sales, end of contract 11");
    assert_eq!(proposed[1]["difference"][0], format!("-{line}: {rule}"));
}

/// Someone with access to the platform changes the author of an entry. The next verification
/// must report the entry whose digest does not match.
#[tokio::test]
async fn a_tampered_audit_trail_is_detected() {
    let setup = TestSetup::start().await;
    for (version, author) in [("1", "ann"), ("2", "bo")] {
        let text = with_account(&format!("farm-{author}"), "sales, contract 11");
        let file = setup.file("rules.yaml", &text);
        assert_eq!(setup.apply(&file, version, author).await.code, Some(0));
    }
    let before = setup.jaypin(&["audit", "--verify"]).await;
    assert_eq!(before.code, Some(0), "{}", before.stderr);
    let (_, segment) = setup.fleet.platform.get("audit/0").expect("a segment");
    let text = String::from_utf8(segment.to_vec()).expect("text");
    setup
        .fleet
        .platform
        .put("audit/0", text.replace("ann", "eve"));
    let after = setup.jaypin(&["audit", "--verify"]).await;
    assert_eq!(after.code, Some(1));
    assert!(
        after
            .stderr
            .contains("its `previous` digest does not match the entry before it")
    );
}

/// Someone removes the newest entries. The remaining chain is consistent, so the removal is
/// visible only against the rules and against the last digest, kept outside the platform.
#[tokio::test]
async fn entries_removed_from_the_end_are_detected() {
    let setup = TestSetup::start().await;
    let file = setup.file("one.yaml", &with_account("farm-one", "sales, contract 11"));
    assert_eq!(setup.apply(&file, "1", "ann").await.code, Some(0));
    let verified = setup.jaypin(&["audit", "--verify"]).await;
    let digest = verified
        .stderr
        .trim()
        .rsplit(' ')
        .next()
        .expect("a digest")
        .to_owned();
    let intact = setup
        .jaypin(&["audit", "--verify", "--expect", &digest])
        .await;
    assert_eq!(intact.code, Some(0), "{}", intact.stderr);
    setup.fleet.platform.put("audit/0", r#"{"entries":[]}"#);
    let cut = setup.jaypin(&["audit", "--verify"]).await;
    assert!(cut.stderr.contains("is not in the trail"), "{}", cut.stderr);
    let cut = setup
        .jaypin(&["audit", "--verify", "--expect", &digest])
        .await;
    assert_eq!(cut.code, Some(1));
    assert!(cut.stderr.contains("no entry has the expected digest"));
}

/// Many refused changes fill the trail. The platform accepts values of up to 1 MiB, so the
/// trail must continue in a new object, and its chain must be valid across both.
#[tokio::test]
async fn a_long_audit_trail_continues_in_a_new_object() {
    let setup = TestSetup::start().await;
    let long = format!(
        "{}- wrong\n",
        "# a remark of forty letters and some more\n".repeat(6_000)
    );
    let file = setup.file("long.yaml", &long);
    for _ in 0..6 {
        assert_eq!(setup.apply(&file, "1", "ann").await.code, Some(2));
    }
    let done = setup.jaypin(&["audit", "--verify"]).await;
    assert!(
        done.stderr.contains("6 entries hold together"),
        "{}",
        done.stderr
    );
    let (_, second) = setup
        .fleet
        .platform
        .get("audit/1")
        .expect("a second object");
    assert!(second.len() < 1 << 20);
}

/// The rules of 17,000 accounts are three times as long as the platform's value limit. The
/// whole change must be in force both on hosts that watch the platform and on those that
/// receive it from peers, and a small change must not rewrite all objects.
#[tokio::test]
async fn rules_that_exceed_one_object_are_in_force_on_every_host() {
    let setup = TestSetup::start_hosts(8).await;
    let mut text = RULES.to_owned();
    for number in 0..17_000 {
        let digest = jaypin_rules::digest_credential(&number.to_string());
        let rules = [
            format!("- {{account: a-{number}}}  # asked by: sales\n"),
            format!("- {{caller: {digest}, account: a-{number}}}  # asked by: sales\n"),
        ];
        text.push_str(&rules.concat());
    }
    let large = setup.file("large.yaml", &text);
    let done = setup.apply(&large, "1", "ann").await;
    assert_eq!(done.code, Some(0), "{}", done.stderr);
    assert!(done.stdout.contains("in force on 8 of 8 hosts"));
    let before = setup.fleet.platform.calls().writes;
    text.push_str("- {account: last}  # asked by: sales\n");
    let larger = setup.file("larger.yaml", &text);
    assert_eq!(setup.apply(&larger, "2", "ann").await.code, Some(0));
    let writes = setup.fleet.platform.calls().writes - before;
    assert_eq!(writes, 4, "two of the trail, one part, one object");
    let shown = setup.jaypin(&["rules", "show"]).await;
    assert_eq!(shown.stdout, text);
}
