//! Statements over one server.

mod support;

use support::{code, connect, failure, primary, rows};

/// Guards against wrong answers of expressions, filters, sorting and aggregates.
#[tokio::test]
async fn queries_compute_what_they_ask_for() {
    let server = primary().await;
    let client = connect(&server).await;
    client
        .batch_execute(
            "CREATE TABLE stock (id serial PRIMARY KEY, item text NOT NULL, count int DEFAULT 5, \
             total bigint, fresh boolean);
             INSERT INTO stock (item, count, total, fresh) VALUES ('goldeye', 3, 5000000000, true), \
             ('pickerel', DEFAULT, NULL, false), ('whitefish', 9, 1, NULL);",
        )
        .await
        .unwrap();
    let cases = [
        ("SELECT 1", "1"),
        ("SELECT 1 + 2 * 3, 7 / 2, 7 % 4, -5", "7|3|3|-5"),
        ("SELECT id, item, count, total, fresh FROM stock WHERE id = 2", "2|pickerel|5|-|f"),
        ("SELECT item FROM stock WHERE count > 3 AND NOT fresh", "pickerel"),
        (
            "SELECT item FROM stock WHERE total IS NULL OR count IN (9, 10) ORDER BY item DESC",
            "whitefish pickerel",
        ),
        ("SELECT item FROM stock WHERE item LIKE 'p%k_rel'", "pickerel"),
        (
            "SELECT s.item FROM stock AS s WHERE s.count BETWEEN 3 AND 5 ORDER BY 1 LIMIT 1 OFFSET 1",
            "pickerel",
        ),
        (
            "SELECT count(*), count(total), sum(count), min(item), max(total) FROM stock",
            "3|2|17|goldeye|5000000000",
        ),
        ("SELECT sum(count), count(*) FROM stock WHERE id > 100", "-|0"),
        (
            "SELECT fresh, count(*) FROM stock GROUP BY fresh ORDER BY fresh NULLS FIRST",
            "-|1 f|1 t|1",
        ),
        ("SELECT total FROM stock ORDER BY total", "1 5000000000 -"),
        ("SELECT count(*), sum(n) FROM generate_series(1, 1000) AS n", "1000|500500"),
        (
            "SELECT 'a' || 'b', upper('c'), coalesce(NULL, 'd'), CASE WHEN 1 > 2 THEN 'e' ELSE 'f' END",
            "ab|C|d|f",
        ),
        ("SELECT '12'::int + 1, CAST(3 AS text), 'x' = 'y', NULL = 1", "13|3|f|-"),
        ("SELECT id FROM stock WHERE id IN (3, 1, 1, 9, NULL) AND count > 0", "1 3"),
        ("SELECT id FROM stock WHERE id IN (1, 2.0)", "1 2"),
        ("SELECT id FROM stock WHERE id = 2.0 OR id = 3", "2 3"),
        ("SELECT id FROM stock WHERE id NOT IN (1, 2)", "3"),
        ("SELECT id FROM stock WHERE id = NULL", ""),
        ("SELECT pg_is_in_recovery()", "f"),
        ("UPDATE stock SET count = count - 1 WHERE item = 'goldeye' RETURNING id, count", "1|2"),
        ("DELETE FROM stock WHERE id = 3 RETURNING item", "whitefish"),
        ("INSERT INTO stock (item) VALUES ('trout') RETURNING id, count", "4|5"),
        (
            "INSERT INTO stock SELECT n, 'row' || n FROM generate_series(10, 12) n RETURNING id",
            "10 11 12",
        ),
        ("SHOW server_encoding", "UTF8"),
    ];
    for (text, expected) in cases {
        assert_eq!(rows(&client, text).await.join(" "), expected, "{text}");
    }
    assert!(rows(&client, "SELECT version()").await[0].starts_with("PostgreSQL"));
    server.kill().await;
}

/// Guards against invented answers: what cannot be run is refused with the right SQLSTATE.
#[tokio::test]
async fn failures_have_their_sqlstate() {
    let server = primary().await;
    let client = connect(&server).await;
    client
        .batch_execute(
            "CREATE TABLE orders (id int PRIMARY KEY, depot text NOT NULL UNIQUE, boxes int)",
        )
        .await
        .unwrap();
    client.batch_execute("INSERT INTO orders VALUES (1, 'selkirk', 2)").await.unwrap();
    let cases = [
        ("SELEC 1", "42601"),
        ("SELECT * FROM missing", "42P01"),
        ("SELECT missing FROM orders", "42703"),
        ("SELECT missing(1)", "42883"),
        ("SELECT id = 'x' FROM orders", "22P02"),
        ("SELECT depot + 1 FROM orders", "42883"),
        ("SELECT 1 / 0", "22012"),
        ("SELECT 2147483647 + 1", "22003"),
        ("SELECT abs(-2147483648)", "22003"),
        ("SELECT -9223372036854775808 - 1", "22003"),
        ("SELECT id, count(*) FROM orders", "42803"),
        ("SELECT * FROM orders WHERE boxes", "42804"),
        ("SELECT * FROM orders a JOIN orders b ON a.id = b.id", "0A000"),
        ("SELECT DISTINCT depot FROM orders", "0A000"),
        ("SELECT id FROM orders UNION SELECT 1", "0A000"),
        ("WITH x AS (SELECT 1) SELECT * FROM x", "0A000"),
        ("SELECT (SELECT 1)", "0A000"),
        ("SELECT count(DISTINCT id) FROM orders", "0A000"),
        ("SELECT count(*) OVER () FROM orders", "0A000"),
        ("SELECT id FROM orders FOR UPDATE SKIP LOCKED", "0A000"),
        ("SELECT id FROM orders LIMIT -1", "2201W"),
        ("SELECT id FROM orders ORDER BY 7", "42P10"),
        ("CREATE TABLE orders (id int)", "42P07"),
        ("CREATE TABLE t (a int, a int)", "42701"),
        ("CREATE TABLE t (a numeric)", "0A000"),
        ("CREATE TABLE t (a int REFERENCES orders)", "0A000"),
        ("CREATE TABLE t (a int CHECK (a > 0))", "0A000"),
        ("CREATE VIEW v AS SELECT 1", "0A000"),
        ("CREATE INDEX i ON orders (boxes)", "0A000"),
        ("DROP TABLE missing", "42P01"),
        ("INSERT INTO orders VALUES (1, 'fort-qu', 1)", "23505"),
        ("INSERT INTO orders VALUES (2, 'selkirk', 1)", "23505"),
        ("UPDATE orders SET depot = NULL", "23502"),
        ("INSERT INTO orders (id) VALUES (3)", "23502"),
        ("INSERT INTO orders (id, depot) VALUES (3)", "42601"),
        ("INSERT INTO orders VALUES ('x', 'y', 1)", "22P02"),
        (
            "INSERT INTO orders (id, depot) VALUES (1, 'z') ON CONFLICT (id) DO UPDATE SET boxes = 1",
            "0A000",
        ),
        ("UPDATE orders SET missing = 1", "42703"),
        ("SAVEPOINT a", "0A000"),
        ("SET missing = 1", "42704"),
        ("SET statement_timeout = 100", "0A000"),
        ("SHOW missing", "42704"),
        ("COPY orders FROM STDIN", "0A000"),
        ("LISTEN x", "0A000"),
        ("EXPLAIN SELECT 1", "0A000"),
        ("DEALLOCATE missing", "26000"),
        ("SELECT $1", "42P02"),
        ("BEGIN ISOLATION LEVEL SERIALIZABLE", "0A000"),
        ("SELECT group_promote(1) FROM orders", "0A000"),
    ];
    for (text, expected) in cases {
        assert_eq!(failure(&client, text).await, expected, "{text}");
    }
    let deep = format!("SELECT 1{}", " + 1".repeat(140));
    assert_eq!(rows(&client, &deep).await, ["141"]);
    let deeper = format!("SELECT 1 WHERE 1 = 1{}", " AND 1 = 1".repeat(5_000));
    assert_eq!(failure(&client, &deeper).await, "54001", "the stack is not used up");
    assert_eq!(rows(&client, "SELECT * FROM orders").await, ["1|selkirk|2"]);
    server.kill().await;
}

/// Guards against wrong types in binary parameters and results, which tokio-postgres always uses.
#[tokio::test]
async fn parameters_and_results_are_binary() {
    let server = primary().await;
    let client = connect(&server).await;
    client
        .batch_execute(
            "CREATE TABLE cups (id int PRIMARY KEY, school text, weight bigint, ready boolean)",
        )
        .await
        .unwrap();
    let insert = "INSERT INTO cups VALUES ($1, $2, $3, $4)";
    for id in 0..3_i32 {
        let weight = i64::from(id) * 10_000_000_000;
        let school = (id != 1).then(|| format!("school {id}"));
        assert_eq!(client.execute(insert, &[&id, &school, &weight, &(id > 0)]).await.unwrap(), 1);
    }
    let row = client
        .query_one(
            "SELECT id, school, weight, ready FROM cups WHERE weight = $1 AND ready",
            &[&20_000_000_000_i64],
        )
        .await
        .unwrap();
    assert_eq!(row.get::<_, i32>(0), 2);
    assert_eq!(row.get::<_, &str>(1), "school 2");
    assert_eq!(row.get::<_, i64>(2), 20_000_000_000);
    assert!(row.get::<_, bool>(3));
    let row = client.query_one("SELECT school FROM cups WHERE id = $1", &[&1_i32]).await.unwrap();
    assert_eq!(row.get::<_, Option<&str>>(0), None);
    let count = "SELECT count(*) FROM cups WHERE school LIKE $1 OR id IN ($2, $3)";
    let row = client.query_one(count, &[&"school%", &1_i32, &7_i32]).await.unwrap();
    assert_eq!(row.get::<_, i64>(0), 3);
    let error =
        client.query("SELECT id FROM cups WHERE nothing = $1", &[&1_i32]).await.unwrap_err();
    assert_eq!(code(&error), "42703");
    assert_eq!(client.query("SELECT id FROM cups", &[]).await.unwrap().len(), 3);
    let long = "x".repeat(5_000_000);
    let row = client.query_one("SELECT $1 || 'y'", &[&long]).await.unwrap();
    assert_eq!(row.get::<_, &str>(0).len(), 5_000_001);
    server.kill().await;
}
