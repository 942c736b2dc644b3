//! Tests of the classification of statements.

use {
    banyansill_core::statement::{
        ProfileCache, StatementAction, StatementProfile, TEXT_LIMIT, TOKEN_LIMIT,
    },
    proptest::prelude::*,
};

fn classify(text: &str) -> StatementProfile {
    StatementProfile::classify(text)
}

// Guards against reads that are classified as writes and go to the primary unnecessarily.
#[test]
fn known_reads_are_reads() {
    for text in [
        "SELECT 1",
        "select a, count(*) from t where b = $1 group by a order by 2 limit 5",
        "WITH x AS (SELECT 1) SELECT * FROM x JOIN t USING (a)",
        "SELECT * FROM t UNION ALL SELECT * FROM u",
        "VALUES (1), (2)",
        "SELECT pg_catalog.lower(a) FROM generate_series(1, 3) AS s(a)",
        "SELECT now(), current_timestamp, coalesce(a, 'x') FROM t",
        "EXPLAIN SELECT 1",
        "SHOW search_path",
        "SELECT 1; SELECT 2",
        "SELECT sum(a) FILTER (WHERE b) OVER (PARTITION BY c) FROM t",
        "SELECT EXISTS (SELECT 1 FROM t WHERE a IN (1, 2, 3))",
        "SELECT a::int, data->>'k', CASE WHEN a THEN 1 END FROM t",
        "SET LOCAL lock_timeout = 1",
    ] {
        assert!(classify(text).is_read(), "{text}");
    }
}

// Guards against a write that is classified as a read and is sent to a replica or repeated.
#[test]
fn possible_writes_are_writes() {
    for text in [
        "INSERT INTO t VALUES (1)",
        "WITH x AS (INSERT INTO t VALUES (1) RETURNING a) SELECT * FROM x",
        "WITH x AS (DELETE FROM t RETURNING a) SELECT * FROM x",
        "SELECT * FROM t FOR UPDATE",
        "SELECT * FROM (SELECT * FROM t FOR SHARE) AS u",
        "SELECT * INTO u FROM t",
        "SELECT nextval('s')",
        "SELECT * FROM do_things(1)",
        "SELECT a FROM t WHERE public.lower(a) = 'x'",
        "SELECT a FROM t ORDER BY charge(a)",
        "SELECT a FROM t LIMIT (SELECT bill())",
        "SELECT \"LOWER\"(a) FROM t",
        "SELECT lo_unlink(1)",
        "EXPLAIN ANALYZE DELETE FROM t",
        "SELECT 1; DELETE FROM t",
        "COPY t TO STDOUT",
        "CALL p()",
        "DO $$ BEGIN PERFORM 1; END $$",
        "this is not a statement",
        "SELECT 'unfinished",
        "VACUUM",
        "TRUNCATE t",
        "MERGE INTO t USING u ON a = b WHEN MATCHED THEN DELETE",
        "SELECT a OPERATOR(public.+) b FROM t",
        "EXECUTE p",
        "BEGIN; SELECT 1",
    ] {
        assert!(!classify(text).is_read(), "{text}");
    }
}

// Guards against transaction control that the session does not recognize.
#[test]
fn transaction_control_is_recognized() {
    for (text, action) in [
        ("BEGIN", StatementAction::Begin { read_only: false }),
        ("START TRANSACTION READ ONLY", StatementAction::Begin { read_only: true }),
        (
            "begin isolation level serializable, read only",
            StatementAction::Begin { read_only: true },
        ),
        ("BEGIN READ WRITE;", StatementAction::Begin { read_only: false }),
        ("COMMIT", StatementAction::Commit),
        ("END", StatementAction::Commit),
        ("ROLLBACK", StatementAction::Rollback),
        ("SAVEPOINT a", StatementAction::Savepoint),
        ("ROLLBACK TO SAVEPOINT a", StatementAction::Savepoint),
        ("RELEASE a", StatementAction::Savepoint),
        ("DISCARD ALL", StatementAction::DiscardAll),
        ("DEALLOCATE ALL", StatementAction::DeallocateAll),
        (" ; ", StatementAction::Empty),
        ("/* nothing */", StatementAction::Empty),
    ] {
        assert_eq!(classify(text).action, action, "{text}");
    }
    for text in ["COMMIT AND CHAIN", "ROLLBACK AND CHAIN", "INSERT INTO t VALUES (1); COMMIT"] {
        let profile = classify(text);
        assert!(profile.ends_transaction && profile.action == StatementAction::Write, "{text}");
    }
}

// Guards against session state that is visible to another session or lost to its own.
#[test]
fn session_state_pins() {
    for text in [
        "LISTEN a",
        "UNLISTEN a",
        "CREATE TEMP TABLE t (a int)",
        "CREATE TEMPORARY TABLE t AS SELECT 1",
        "SELECT 1 AS a INTO TEMP t",
        "SELECT pg_advisory_lock(1)",
        "SELECT a FROM t WHERE pg_try_advisory_lock_shared(a)",
        "SELECT set_config('a', 'b', false)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "PREPARE p AS SELECT 1",
        "SET SESSION AUTHORIZATION joe",
        "SET ROLE joe",
        "SELECT 1; SET search_path = a",
        "SET some thing nobody can parse",
    ] {
        let profile = classify(text);
        assert!(profile.pins && profile.taints && !profile.is_read(), "{text}");
    }
    for text in ["SELECT pg_advisory_xact_lock(1)", "INSERT INTO t VALUES ('temp')", "SELECT 1"] {
        assert!(!classify(text).pins, "{text}");
    }
    let setting = classify("SET SESSION Search_Path TO 'a'").action;
    let expected =
        StatementAction::Setting { name: "search_path".to_owned(), value: "a".to_owned() };
    assert_eq!(setting, expected);
}

// Guards against a kind that is read from literals instead of comments, and against a missed tag.
#[test]
fn kind_tags_come_from_comments_only() {
    let kind = |text: &str| classify(text).kind.map(|kind| kind.to_string());
    assert_eq!(kind("/* kind=stock-check */ SELECT 1"), Some("stock-check".to_owned()));
    assert_eq!(kind("SELECT 1 /*kind=a*/ /* kind=b */"), Some("a".to_owned()));
    assert_eq!(kind("SELECT '/* kind=order */'"), None);
    assert_eq!(kind("SELECT $$/* kind=order */$$"), None);
    assert_eq!(kind("/* kind=two words */ SELECT 1"), None);
    assert_eq!(kind("/* kind=order */ not a statement"), Some("order".to_owned()));
}

// Guards against estimates that equal statements do not share or different statements do.
#[test]
fn fingerprints_ignore_literals() {
    let fingerprint_of = |text: &str| classify(text).fingerprint;
    assert_eq!(
        fingerprint_of("SELECT a FROM t WHERE b = 1"),
        fingerprint_of("select A from T where b = 'x' -- y")
    );
    assert_eq!(
        fingerprint_of("SELECT a FROM t WHERE b IN (1,2)"),
        fingerprint_of("SELECT a FROM t WHERE b IN (7)")
    );
    assert_ne!(fingerprint_of("SELECT a FROM t"), fingerprint_of("SELECT b FROM t"));
    assert_ne!(fingerprint_of("SELECT \"A\" FROM t"), fingerprint_of("SELECT a FROM t"));
}

// Guards against a stack overflow on deep syntax trees, which would abort the whole process.
#[test]
fn deep_statements_fit_the_stack() {
    let build = |start: &str, part: &str, end: &str, count: usize| {
        format!("{start}{}{end}", part.repeat(count))
    };
    let check = move || {
        for count in [TOKEN_LIMIT / 8, TOKEN_LIMIT / 2 - 10, TOKEN_LIMIT * 10] {
            for text in [
                build("SELECT 1", "+1", "", count),
                build("SELECT 1", "::int", "", count),
                build("SELECT a", "[1]", "", count),
                build("SELECT ", "(", "1", count),
                build("SELECT ", "NOT ", "true", count),
                build("SELECT ", "- ", "1", count),
                build("SELECT 1", " UNION SELECT 1", "", count),
                build("SELECT 1 FROM t", " JOIN t ON a", "", count),
                build("SELECT a", ".a", "", count),
                build("SELECT a", " IS NULL", "", count),
                build("SELECT 1 WHERE a", " AND a", "", count),
                build("", "/*", "", count),
            ] {
                let _ = classify(&text);
            }
        }
    };
    std::thread::Builder::new().stack_size(2 << 20).spawn(check).unwrap().join().unwrap();
}

// Guards against a cache that grows with the number of distinct texts or evicts texts in use.
#[test]
fn cache_is_bounded_and_keeps_what_is_used() {
    let mut cache = ProfileCache::new(8);
    let first = cache.classify("SELECT 'used'");
    for number in 0..100 {
        cache.classify(&format!("SELECT {number}"));
        assert!(std::sync::Arc::ptr_eq(&first, &cache.classify("SELECT 'used'")));
        assert!(cache.len() <= 16);
    }
    let before = cache.len();
    cache.classify(&format!("SELECT '{}'", "x".repeat(10_000)));
    assert_eq!(cache.len(), before);
}

// Guards against a long text that blocks a worker, and against missing a write or a tag in it.
#[test]
fn long_texts_are_writes() {
    let long = "x".repeat(TEXT_LIMIT);
    let read = classify(&format!("/* kind=order */ SELECT '{long}'"));
    assert!(!read.is_read() && read.taints && !read.pins);
    assert_eq!(read.kind.map(|kind| kind.to_string()), Some("order".to_owned()));
    for state in ["CREATE TEMP TABLE t ()", "set a = b", "SELECT pg_advisory_lock(1)"] {
        assert!(classify(&format!("SELECT '{long}'; {state}")).pins, "{state}");
    }
}

proptest! {
    // Guards against a panic on arbitrary text.
    #[test]
    fn any_text_is_classified(text in "\\PC{0,200}") {
        let _ = classify(&text);
    }

    // Guards against a write that is classified as a read because of the text around it.
    #[test]
    fn a_write_stays_a_write(
        before in prop::sample::select(vec!["", "/* c */ ", "SELECT 1; ", "WITH x AS (SELECT 1) "]),
        after in prop::sample::select(vec!["", " RETURNING a", "; SELECT 1", " -- SELECT"]),
    ) {
        let text = format!("{before}DELETE FROM t{after}");
        prop_assert!(!classify(&text).is_read());
    }
}
