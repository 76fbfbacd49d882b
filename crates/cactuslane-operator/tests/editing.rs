//! Concurrent edits, lost answers and outages of the key-value service.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactuslane_config::Section;
use cactuslane_operator::{Editor, EditorError, Operator};
use cactuslane_standin::platform::Platform;
use cactuslane_standin::{Deployment, Fault, FaultKind, Faults};
use cactuslane_store::Store;
use yare::parameterized;

/// A stand-in platform that holds a first document and two operators.
///
/// `ana` may edit `models` and `callers`, `ion` may edit `capacity`; each name is also the token.
struct Fixture {
    /// Stand-in of the key-value service that the editors write to.
    platform: Platform,
    /// Faults that the platform applies to its calls.
    faults: Faults,
}

impl Fixture {
    /// Starts the platform, writes the document and grants both operators their sections.
    async fn open() -> Self {
        let faults = Faults::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::bind(address, faults.clone(), Duration::ZERO).await;
        let fixture = Self {
            platform: platform.expect("the platform binds"),
            faults,
        };
        let document = Deployment::cluj().document(&"0".repeat(64));
        let editor = fixture.editor();
        editor
            .init(&document)
            .await
            .expect("the first document is written");
        for (token, sections) in [
            ("ana", vec!["models", "callers"]),
            ("ion", vec!["capacity"]),
        ] {
            let sections = sections.into_iter().map(str::to_owned).collect();
            let operator = Operator {
                name: token.to_owned(),
                sections,
            };
            editor
                .grant(token, &operator)
                .await
                .expect("the grant is written");
        }
        fixture
    }

    /// Creates an editor with a key-value client of its own.
    fn editor(&self) -> Editor {
        Editor::open(Store::open(self.platform.address()))
    }

    /// Applies a fault to one write on the platform, after `after` writes that pass.
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

/// Returns a `capacity` section with the given retry share.
fn capacity(share: f64) -> String {
    format!("{{ \"retry_share\": {share} }}")
}

/// Returns the current `models` section with another version of its first model.
async fn models(editor: &Editor, version: u32) -> String {
    let current = editor.current().await.expect("the platform answers");
    let text = current
        .section(Section::Models)
        .expect("the section exists");
    let start = text.find("\"version\": \"").expect("a model has a version") + 12;
    let end = start
        + text[start..]
            .find('"')
            .expect("the version is a closed string");
    format!("{}{version}{}", &text[..start], &text[end..])
}

/// Guards against losing one of two concurrent edits that are based on the same document but
/// replace different sections. Comments outside the edited sections stay.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_edits_of_different_sections_are_both_accepted() {
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
        one.expect("the edit is accepted").number,
        other.expect("the edit is accepted").number,
    ];
    assert!(numbers.contains(&1) && numbers.contains(&2));
    let current = ana.current().await.expect("the platform answers");
    assert!(current.text.contains("\"version\": \"7\"") && current.text.contains("0.3"));
    assert!(current.text.contains("// Who may call what, and how much."));
}

/// Guards against overwriting a concurrent edit of the same section: of four, one is accepted, and
/// the others get a conflict that names its author and number and holds the refused text.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_edits_of_one_section_conflict() {
    let fixture = Fixture::open().await;
    let mut tasks = Vec::new();
    for share in [0.2, 0.3, 0.4, 0.5] {
        let editor = fixture.editor();
        tasks.push(tokio::spawn(async move {
            let text = capacity(share);
            (
                share,
                editor.put("ion", Section::Capacity, &text, Some(0)).await,
            )
        }));
    }
    let mut accepted_edits = Vec::new();
    for task in tasks {
        let (share, result) = task.await.expect("the task does not panic");
        match result {
            Ok(accepted) => accepted_edits.push((share, accepted)),
            Err(EditorError::Conflict { theirs, ours }) => {
                assert_eq!((theirs.by.as_str(), theirs.number), ("ion", 1));
                assert_eq!(ours, capacity(share));
            }
            Err(error) => panic!("{error}"),
        }
    }
    assert_eq!(accepted_edits.len(), 1);
    let current = fixture
        .editor()
        .current()
        .await
        .expect("the platform answers");
    assert_eq!(
        current
            .section(Section::Capacity)
            .expect("the section exists"),
        capacity(accepted_edits[0].0)
    );
}

/// Guards against reporting an edit as failed, or making it twice, when the answer to its
/// transaction is lost, whether or not the transaction took effect.
#[parameterized(
    took_effect = { FaultKind::Lost },
    never_arrived = { FaultKind::Down },
    answer_cut = { FaultKind::Cut },
)]
fn an_edit_with_a_lost_answer_is_made_once(kind: FaultKind) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(async {
        let fixture = Fixture::open().await;
        // The platform counts every transaction as a write. The first of an edit only reads the
        // document, so it passes, and the fault hits the second, which writes.
        fixture.fail_write(kind, 1);
        let editor = fixture.editor();
        let accepted = editor
            .put("ion", Section::Capacity, &capacity(0.4), None)
            .await;
        assert_eq!(accepted.expect("the edit is accepted").number, 1);
        let history = editor.history().await.expect("the platform answers");
        assert_eq!(history.len(), 1);
        let current = editor.current().await.expect("the platform answers");
        assert_eq!(
            current
                .section(Section::Capacity)
                .expect("the section exists"),
            capacity(0.4)
        );
    });
}

/// During an outage of the key-value service, an edit fails as unavailable and leaves no entry in
/// the history.
#[tokio::test]
async fn no_edit_is_accepted_during_an_outage() {
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
            .expect("the platform answers")
            .is_empty()
    );
}

/// An operator may edit only its own sections, and an unknown token may edit none.
#[parameterized(
    own = { "ion", Section::Capacity, true },
    other_section = { "ion", Section::Callers, false },
    unknown_token = { "eve", Section::Capacity, false },
)]
fn only_the_sections_of_the_operator_are_permitted(token: &str, section: Section, allowed: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(async {
        let fixture = Fixture::open().await;
        let result = fixture.editor().authorize(token, section).await;
        assert_eq!(result.is_ok(), allowed, "{result:?}");
    });
}

/// Guards against an edit that is valid by itself but makes the whole document invalid: renaming a
/// model in `models` while other sections still refer to it by its old name.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_edit_that_breaks_references_is_refused() {
    let fixture = Fixture::open().await;
    let editor = fixture.editor();
    let text = editor
        .current()
        .await
        .expect("the platform answers")
        .section(Section::Models);
    let renamed = text
        .expect("the section exists")
        .replace("model-numarare", "model-nou");
    let result = editor.put("ana", Section::Models, &renamed, None).await;
    let Err(EditorError::Invalid(errors)) = result else {
        panic!("{result:?}")
    };
    assert!(errors.contains("model-numarare") && errors.contains("defined names: model-nou"));
    assert!(
        editor
            .history()
            .await
            .expect("the platform answers")
            .is_empty()
    );
}

/// A rollback is a new edit with a higher number, and its text is that before the edit undone. A
/// number that the history does not hold is refused.
#[tokio::test]
async fn a_rollback_is_a_new_edit() {
    let fixture = Fixture::open().await;
    let editor = fixture.editor();
    for share in [0.2, 0.3] {
        editor
            .put("ion", Section::Capacity, &capacity(share), None)
            .await
            .expect("the edit is accepted");
    }
    let before = editor
        .current()
        .await
        .expect("the platform answers")
        .revision;
    let accepted = editor
        .rollback("ion", 2)
        .await
        .expect("the edit is accepted");
    assert_eq!(accepted.number, 3);
    assert!(accepted.revision > before);
    let current = editor.current().await.expect("the platform answers");
    assert_eq!(
        current
            .section(Section::Capacity)
            .expect("the section exists"),
        capacity(0.2)
    );
    assert_eq!(
        editor.rollback("ion", 99).await,
        Err(EditorError::NoEdit(99))
    );
}
