//! Racing operators, lost answers and outages.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactuslane_config::Section;
use cactuslane_operator::{Editor, EditorError, Operator};
use cactuslane_standin::platform::Platform;
use cactuslane_standin::{Deployment, Fault, FaultKind, Faults};
use cactuslane_store::Store;
use yare::parameterized;

/// Holds a platform with a first document and two operators.
struct Fixture {
    /// The platform.
    platform: Platform,
    /// The table of faults.
    faults: Faults,
}

impl Fixture {
    /// Opens a fixture.
    async fn open() -> Self {
        let faults = Faults::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::bind(address, faults.clone(), Duration::ZERO).await;
        let fixture = Self {
            platform: platform.expect("it binds"),
            faults,
        };
        let document = Deployment::cluj().document(&"0".repeat(64));
        let editor = fixture.editor();
        editor.init(&document).await.expect("there was none");
        for (token, sections) in [
            ("ana", vec!["models", "callers"]),
            ("ion", vec!["capacity"]),
        ] {
            let sections = sections.into_iter().map(str::to_owned).collect();
            let operator = Operator {
                name: token.to_owned(),
                sections,
            };
            editor.grant(token, &operator).await.expect("it answers");
        }
        fixture
    }

    /// Opens an editor.
    fn editor(&self) -> Editor {
        Editor::open(Store::open(self.platform.address()))
    }

    /// Adds a fault of the next write.
    fn fail_write(&self, kind: FaultKind, after: u32) {
        let (target, on) = ("platform".to_owned(), "write".to_owned());
        self.faults.add(Fault {
            target,
            on,
            kind,
            after,
            count: 1,
            delay_ms: 0,
        });
    }
}

/// Returns the text of `capacity` with another share.
fn capacity(share: f64) -> String {
    format!("{{ \"retry_share\": {share} }}")
}

/// Returns the text of `models` of a fixture with another version.
async fn models(editor: &Editor, version: u32) -> String {
    let current = editor.current().await.expect("it answers");
    let text = current.section(Section::Models).expect("it is there");
    let start = text.find("\"version\": \"").expect("it has one") + 12;
    let end = start + text[start..].find('"').expect("it is closed");
    format!("{}{version}{}", &text[..start], &text[end..])
}

/// Edits of different sections made at once both land; comments of the rest stay.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn different_sections_both_land() {
    let fixture = Fixture::open().await;
    let (ana, ion) = (fixture.editor(), fixture.editor());
    let text = models(&ana, 7).await;
    let (one, other) = tokio::join!(
        ana.put("ana", Section::Models, &text, Some(0)),
        ion.put(
            "ion",
            Section::Capacity,
            "{ \"retry_share\": 0.3 }",
            Some(0)
        ),
    );
    let numbers = [
        one.expect("it lands").number,
        other.expect("it lands").number,
    ];
    assert!(numbers.contains(&1) && numbers.contains(&2));
    let current = ana.current().await.expect("it answers");
    assert!(current.text.contains("\"version\": \"7\"") && current.text.contains("0.3"));
    assert!(current.text.contains("// Who may call what, and how much."));
}

/// Of two edits of one section, one lands and the other is told whose came between.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_same_section_lands_once() {
    let fixture = Fixture::open().await;
    let mut tries = Vec::new();
    for share in [0.2, 0.3, 0.4, 0.5] {
        let editor = fixture.editor();
        tries.push(tokio::spawn(async move {
            let text = capacity(share);
            (
                share,
                editor.put("ion", Section::Capacity, &text, Some(0)).await,
            )
        }));
    }
    let mut landed = Vec::new();
    for one in tries {
        let (share, result) = one.await.expect("it ends");
        match result {
            Ok(accepted) => landed.push((share, accepted)),
            Err(EditorError::Conflict { theirs, ours }) => {
                assert_eq!((theirs.by.as_str(), theirs.number), ("ion", 1));
                assert_eq!(ours, capacity(share));
            }
            Err(error) => panic!("{error}"),
        }
    }
    assert_eq!(landed.len(), 1);
    let current = fixture.editor().current().await.expect("it answers");
    assert_eq!(
        current.section(Section::Capacity).expect("it is there"),
        capacity(landed[0].0)
    );
}

/// A write whose answer was lost is told as what came of it.
#[parameterized(
    took_effect = { FaultKind::Lost },
    never_arrived = { FaultKind::Down },
    cut = { FaultKind::Cut },
)]
fn a_lost_answer_is_resolved(kind: FaultKind) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(async {
        let fixture = Fixture::open().await;
        // The first write of an edit is its reading transaction.
        fixture.fail_write(kind, 1);
        let editor = fixture.editor();
        let accepted = editor
            .put("ion", Section::Capacity, &capacity(0.4), None)
            .await;
        assert_eq!(accepted.expect("it lands").number, 1);
        let history = editor.history().await.expect("it answers");
        assert_eq!(history.len(), 1);
        let current = editor.current().await.expect("it answers");
        assert_eq!(
            current.section(Section::Capacity).expect("it is there"),
            capacity(0.4)
        );
    });
}

/// During an outage nothing is accepted, and the operator is told so.
#[tokio::test]
async fn an_outage_accepts_nothing() {
    let fixture = Fixture::open().await;
    fixture.platform.set_down(true);
    let result = fixture
        .editor()
        .put("ion", Section::Capacity, &capacity(0.4), None)
        .await;
    assert!(
        matches!(result, Err(EditorError::Unavailable(_))),
        "{result:?}"
    );
    fixture.platform.set_down(false);
    assert!(
        fixture
            .editor()
            .history()
            .await
            .expect("it answers")
            .is_empty()
    );
}

/// An operator edits its own sections alone, and nobody without a token edits.
#[parameterized(
    own = { "ion", Section::Capacity, true },
    foreign = { "ion", Section::Callers, false },
    nobody = { "eve", Section::Capacity, false },
)]
fn an_operator_edits_its_sections(token: &str, section: Section, allowed: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(async {
        let fixture = Fixture::open().await;
        let result = fixture.editor().authorize(token, section).await;
        assert_eq!(result.is_ok(), allowed, "{result:?}");
    });
}

/// A race of sections that refer to each other never lands an invalid whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn references_hold_in_the_result() {
    let fixture = Fixture::open().await;
    let editor = fixture.editor();
    let text = editor
        .current()
        .await
        .expect("it answers")
        .section(Section::Models);
    let renamed = text
        .expect("it is there")
        .replace("model-numarare", "model-nou");
    let result = editor.put("ana", Section::Models, &renamed, None).await;
    let Err(EditorError::Invalid(faults)) = result else {
        panic!("{result:?}")
    };
    assert!(faults.contains("model-numarare") && faults.contains("known are: model-nou"));
    assert!(editor.history().await.expect("it answers").is_empty());
}

/// A rollback is a new edit with a higher number and the old text.
#[tokio::test]
async fn a_rollback_is_a_new_edit() {
    let fixture = Fixture::open().await;
    let editor = fixture.editor();
    for share in [0.2, 0.3] {
        editor
            .put("ion", Section::Capacity, &capacity(share), None)
            .await
            .expect("it lands");
    }
    let before = editor.current().await.expect("it answers").revision;
    let accepted = editor.rollback("ion", 2).await.expect("it lands");
    assert_eq!(accepted.number, 3);
    assert!(accepted.revision > before);
    let current = editor.current().await.expect("it answers");
    assert_eq!(
        current.section(Section::Capacity).expect("it is there"),
        capacity(0.2)
    );
    assert_eq!(
        editor.rollback("ion", 99).await,
        Err(EditorError::NoEdit(99))
    );
}
