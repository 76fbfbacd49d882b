//! Edits of the configuration document by operators of several teams.
//!
//! The document, a record of its last edits and a history stand under three keys that change in
//! one transaction. An edit replaces one section. Edits of different sections both land; an edit
//! of a section that has changed since its author read it is refused, with both texts.

mod records;

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_authority::keys;
use cactuslane_config::document::hash_token;
use cactuslane_config::edit::{EditError, replace_section, section_text};
use cactuslane_config::{Document, Section};
use cactuslane_store::{Compare, Op, Store, StoreError, Txn};
use cactuslane_types::Revision;
use tokio::time::sleep;

pub use records::{EditRecord, Operator};
use records::{LAST_EDITS_KEY, LastEdits, history_key, operator_key};

/// Number of times that an edit is tried against others.
const MAX_ATTEMPTS: usize = 40;
/// Time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Edits the document of one deployment.
#[derive(Clone, Debug)]
pub struct Editor {
    /// The key-value service.
    store: Store,
}

/// The document as the service holds it.
#[derive(Clone, Debug)]
pub struct CurrentDocument {
    /// Its text.
    pub text: String,
    /// Its revision.
    pub revision: Revision,
    /// The record of its last edits.
    last_edits: LastEdits,
    /// The revision of that record, or 0.
    edits_revision: Revision,
}

/// An edit that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The edit's number.
    pub number: u64,
    /// The revision of the document that holds it, or a later one.
    pub revision: Revision,
}

/// Says why an edit was not accepted, or that nobody knows yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditorError {
    /// There is no document.
    NoDocument,
    /// There is a document already.
    DocumentExists,
    /// The token is not that of an operator of the section.
    NotPermitted(String),
    /// The section has changed since it was read.
    Conflict {
        /// The edit that came between.
        theirs: Box<EditRecord>,
        /// The refused text.
        ours: String,
    },
    /// The resulting document has faults.
    Invalid(String),
    /// There is no edit of a number.
    NoEdit(u64),
    /// The service gave no answer, and nothing was changed.
    Unavailable(String),
    /// The service gave no answer, and the edit may yet be accepted.
    Unknown(String),
}

impl fmt::Display for EditorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoDocument => f.write_str("there is no document yet; write one with `init`"),
            Self::DocumentExists => f.write_str("there is a document already; edit it with `put`"),
            Self::NotPermitted(why) => write!(f, "not permitted: {why}"),
            Self::Conflict { theirs, ours } => write!(
                f,
                "not accepted: {} changed `{}` in edit {} since you read it; read it again\n\
                 --- theirs\n{}\n--- yours\n{ours}",
                theirs.by, theirs.section, theirs.number, theirs.after
            ),
            Self::Invalid(faults) => write!(f, "not accepted, nothing was changed\n{faults}"),
            Self::NoEdit(number) => write!(f, "there is no edit {number} in the history"),
            Self::Unavailable(why) => write!(f, "not accepted, nothing was changed: {why}"),
            Self::Unknown(why) => write!(
                f,
                "not known whether it was accepted: {why}; `history` tells when the service is back"
            ),
        }
    }
}

impl Editor {
    /// Opens an editor on a key-value service.
    #[must_use]
    pub fn open(store: Store) -> Self {
        Self { store }
    }

    /// Reads the document.
    ///
    /// # Errors
    ///
    /// Returns an error where there is none or the service gives no answer.
    pub async fn current(&self) -> Result<CurrentDocument, EditorError> {
        let reads = vec![
            Op::Get(keys::CONFIG.to_owned()),
            Op::Get(LAST_EDITS_KEY.to_owned()),
        ];
        let txn = Txn {
            then: reads,
            ..Txn::default()
        };
        let answer = self
            .store
            .txn(&txn)
            .await
            .map_err(|error| unavailable(&error))?;
        let mut reads = answer.reads.into_iter();
        let document = reads.next().flatten().ok_or(EditorError::NoDocument)?;
        let last_edits = reads.next().flatten();
        let edits_revision = last_edits.as_ref().map_or(0, |record| record.modified);
        let last_edits = last_edits.and_then(|record| serde_json::from_slice(&record.value).ok());
        Ok(CurrentDocument {
            text: String::from_utf8_lossy(&document.value).into_owned(),
            revision: document.modified,
            last_edits: last_edits.unwrap_or_default(),
            edits_revision,
        })
    }

    /// Writes the first document.
    ///
    /// # Errors
    ///
    /// Returns an error where the document has faults or there is one already.
    pub async fn init(&self, text: &str) -> Result<Revision, EditorError> {
        check_document(text)?;
        let key = keys::CONFIG.to_owned();
        let txn = Txn {
            compare: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key, text.as_bytes().to_vec(), None)],
            otherwise: Vec::new(),
        };
        match self.store.txn(&txn).await {
            Ok(answer) if answer.held => Ok(answer.revision),
            Ok(_) => Err(EditorError::DocumentExists),
            Err(StoreError::Lost(why)) => match self.current().await {
                Ok(current) if current.text == text => Ok(current.revision),
                _ => Err(EditorError::Unknown(why)),
            },
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Lets the holder of a token edit some sections.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn grant(&self, token: &str, operator: &Operator) -> Result<(), EditorError> {
        let value = serde_json::to_vec(operator).unwrap_or_default();
        let put = Op::Put(operator_key(&hash_token(token)), value, None);
        let txn = Txn {
            then: vec![put],
            ..Txn::default()
        };
        self.store
            .txn(&txn)
            .await
            .map(|_| ())
            .map_err(|error| match error {
                StoreError::Lost(why) => EditorError::Unknown(why),
                error => unavailable(&error),
            })
    }

    /// Returns the operator whose token it is, if it may edit a section.
    ///
    /// # Errors
    ///
    /// Returns an error where the token is not that of an operator of the section.
    pub async fn authorize(&self, token: &str, section: Section) -> Result<Operator, EditorError> {
        let key = operator_key(&hash_token(token));
        let record = self
            .store
            .get(&key)
            .await
            .map_err(|error| unavailable(&error))?;
        let unknown_token =
            || EditorError::NotPermitted("the token is not that of an operator".to_owned());
        let record = record.ok_or_else(unknown_token)?;
        let operator: Operator =
            serde_json::from_slice(&record.value).map_err(|_| unknown_token())?;
        if operator
            .sections
            .iter()
            .any(|name| name == section.as_str())
        {
            return Ok(operator);
        }
        let permitted = operator.sections.join(", ");
        let message = format!(
            "{} edits {permitted}, not {}",
            operator.name,
            section.as_str()
        );
        Err(EditorError::NotPermitted(message))
    }

    /// Replaces a section that its author read after an edit of a number; none for the last.
    ///
    /// # Errors
    ///
    /// Returns whether the edit was not accepted, or that nobody knows yet.
    pub async fn put(
        &self,
        token: &str,
        section: Section,
        text: &str,
        base: Option<u64>,
    ) -> Result<Accepted, EditorError> {
        let operator = self.authorize(token, section).await?;
        let mut current = self.current().await?;
        let base = base.unwrap_or_else(|| current.last_edits.last_of(section));
        let id = rand::random();
        let mut lost = None;
        for _ in 0..MAX_ATTEMPTS {
            if current.last_edits.last_of(section) > base {
                return self.resolve_newer_edit(&current, section, text, id).await;
            }
            let edit = prepare_edit(&current, section, text, &operator.name, id)?;
            match self.store.txn(&edit.txn).await {
                Ok(answer) if answer.held => {
                    return Ok(Accepted {
                        number: edit.number,
                        revision: answer.revision,
                    });
                }
                Err(StoreError::Lost(why)) => lost = Some(why),
                Err(error) if lost.is_none() => return Err(unavailable(&error)),
                Ok(_) | Err(_) => {}
            }
            // Somebody else has written, or the answer is missing: the document tells.
            match self.current().await {
                Ok(read) => current = read,
                Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
        match lost {
            Some(why) => Err(EditorError::Unknown(why)),
            None => Err(EditorError::Unavailable(
                "others write all the time".to_owned(),
            )),
        }
    }

    /// Returns the last edits, the newest first.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn history(&self) -> Result<Vec<EditRecord>, EditorError> {
        let records = self
            .store
            .range(keys::HISTORY)
            .await
            .map_err(|error| unavailable(&error))?;
        let mut edits: Vec<EditRecord> = Vec::new();
        for record in records {
            edits.extend(serde_json::from_slice::<EditRecord>(&record.value));
        }
        edits.reverse();
        Ok(edits)
    }

    /// Undoes an edit by a new one that brings back the section's text before it.
    ///
    /// # Errors
    ///
    /// Returns an error where the edit is not in the history, or as for [`Editor::put`].
    pub async fn rollback(&self, token: &str, number: u64) -> Result<Accepted, EditorError> {
        let history = self.history().await?;
        let edit = history.into_iter().find(|edit| edit.number == number);
        let edit = edit.ok_or(EditorError::NoEdit(number))?;
        let section = Section::parse(&edit.section).ok_or(EditorError::NoEdit(number))?;
        self.put(token, section, &edit.before, None).await
    }

    /// Tells whether an edit that met a newer one of its section was itself the newer one.
    async fn resolve_newer_edit(
        &self,
        current: &CurrentDocument,
        section: Section,
        text: &str,
        id: u64,
    ) -> Result<Accepted, EditorError> {
        let history = match self.history().await {
            Ok(history) => history,
            Err(error) => return Err(EditorError::Unknown(error.to_string())),
        };
        if let Some(own) = history.iter().find(|edit| edit.id == id) {
            return Ok(Accepted {
                number: own.number,
                revision: current.revision,
            });
        }
        let last = current.last_edits.last_of(section);
        match history.into_iter().find(|edit| edit.number == last) {
            Some(theirs) => Err(EditorError::Conflict {
                theirs: Box::new(theirs),
                ours: text.to_owned(),
            }),
            None => Err(EditorError::Unknown(
                "the history does not reach back far enough".to_owned(),
            )),
        }
    }
}

impl CurrentDocument {
    /// Returns the text of a section.
    ///
    /// # Errors
    ///
    /// Returns an error where the document lacks the section.
    pub fn section(&self, section: Section) -> Result<String, EditorError> {
        section_text(&self.text, section).map_err(|error| EditorError::Invalid(error.to_string()))
    }

    /// Returns the number of the last edit of a section, on which a next one is based.
    #[must_use]
    pub fn base(&self, section: Section) -> u64 {
        self.last_edits.last_of(section)
    }
}

/// An edit that is ready to be written.
struct PreparedEdit {
    /// Its number.
    number: u64,
    /// The transaction that writes it.
    txn: Txn,
}

/// Prepares an edit of the current document.
fn prepare_edit(
    current: &CurrentDocument,
    section: Section,
    text: &str,
    operator: &str,
    id: u64,
) -> Result<PreparedEdit, EditorError> {
    let before = current.section(section)?;
    let document = replace_section(&current.text, section, text).map_err(|error| match error {
        EditError::Invalid(_) | EditError::NoSection(_) => EditorError::Invalid(error.to_string()),
    })?;
    let mut last_edits = current.last_edits.clone();
    let number = last_edits.add(section);
    let edit = EditRecord {
        number,
        id,
        section: section.as_str().to_owned(),
        by: operator.to_owned(),
        at_ms: wall_clock_ms(),
        before,
        after: text.trim().to_owned(),
    };
    let edits_key = LAST_EDITS_KEY.to_owned();
    let unchanged = match current.edits_revision {
        0 => Compare::Absent(edits_key.clone()),
        revision => Compare::Modified(edits_key.clone(), revision),
    };
    let value = |json: serde_json::Result<Vec<u8>>| json.unwrap_or_default();
    let mut then = vec![
        Op::Put(keys::CONFIG.to_owned(), document.into_bytes(), None),
        Op::Put(edits_key, value(serde_json::to_vec(&last_edits)), None),
        Op::Put(history_key(number), value(serde_json::to_vec(&edit)), None),
    ];
    then.extend(records::pruned_history_key(number).map(Op::Delete));
    let config = Compare::Modified(keys::CONFIG.to_owned(), current.revision);
    let txn = Txn {
        compare: vec![config, unchanged],
        then,
        otherwise: Vec::new(),
    };
    Ok(PreparedEdit { number, txn })
}

/// Checks a whole document.
fn check_document(text: &str) -> Result<(), EditorError> {
    let result = Document::parse("document", text);
    result
        .map(|_| ())
        .map_err(|faults| EditorError::Invalid(EditError::Invalid(faults).to_string()))
}

/// Turns an error of the service into one of an edit that changed nothing.
fn unavailable(error: &StoreError) -> EditorError {
    EditorError::Unavailable(error.to_string())
}

/// Returns the wall-clock time in milliseconds.
fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
