//! Callers that send the requests of a load, and take up streams that were cut.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuslane_platform_standin::caller::{self, Prompt, is_signed_answer};
use cactuslane_platform_standin::script::FORMS_PREFIX;
use cactuslane_store::http::{Client, HttpError};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::aims::SharedAims;
use super::forms::Form;
use super::{
    ANSWER_SLACK, DEADLINE, LoadSpec, Outcome, RequestKind, RequestRecord, SharedAddresses, TakenUp,
};

/// Number of simulated callers; each has its own connection pool.
const CALLER_COUNT: usize = 8;
/// Ids of the parts of prompts that requests share, one each, so that streams begin at several targets.
const SHARED_PARTS: [&str; 5] = ["a1", "a2", "a3", "a4", "a5"];
/// First id of the shared parts of prompts with sizes.
const FIRST_PART: u32 = 0xb000;
/// Largest number of attempts at a stream, of which all but the first one take it up.
const MAX_ATTEMPTS: usize = 5;
/// Range of the times after which a caller takes up a stream that was cut, in milliseconds.
const TAKE_UP_MS: std::ops::Range<u64> = 50..600;
/// Time that a caller waits for a connection of its own.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Part of the seed of the forms of requests that tells it from that of the other choices.
const FORMS_SEED: u64 = 0x0066_6f72_6d73;
/// Part of the seed of the callers who leave that tells it from that of the other choices.
const LEAVING_SEED: u64 = 0x6c65_6176_6500;

/// A caller's request and its further attempts.
struct Attempts {
    /// Client of the caller, with kept connections.
    client: Client,
    /// Kind of the request, with its index.
    kind: (usize, RequestKind),
    /// Customer's key, with its index.
    key: Option<(usize, String)>,
    /// Number of the request within the load.
    number: usize,
    /// Form of the requests.
    form: Form,
    /// Whether streams are taken up in a form of their own, and at instances that callers prefer.
    is_aimed: bool,
    /// Instances at which callers prefer to take streams up.
    aims: SharedAims,
    /// Instance that the caller stays with, shared by the requests of the caller.
    kept: Arc<Mutex<Option<SocketAddr>>>,
    /// Addresses of the instances.
    addresses: SharedAddresses,
}

/// Sends a load, in which callers take up streams that were cut, and returns the records of its
/// requests; those of the attempts at one stream follow each other.
pub async fn send(
    spec: &LoadSpec,
    addresses: &SharedAddresses,
    aims: &SharedAims,
) -> Vec<RequestRecord> {
    let clients: Vec<Client> = (0..CALLER_COUNT).map(|_| Client::open()).collect();
    let kept: Vec<Arc<Mutex<Option<SocketAddr>>>> =
        (0..CALLER_COUNT).map(|_| Arc::default()).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(spec.seed ^ 1);
    let mut forms = Pcg64Mcg::seed_from_u64(spec.seed ^ FORMS_SEED);
    let mut leaving = Pcg64Mcg::seed_from_u64(spec.seed ^ LEAVING_SEED);
    let is_aimed = spec.unusual > 0.0;
    let began = Instant::now();
    let mut tasks = JoinSet::new();
    let mut records = Vec::new();
    for (number, (at, kind)) in spec.arrivals().into_iter().enumerate() {
        sleep_until(began + at).await;
        while let Some(ended) = tasks.try_join_next() {
            records.extend(ended.into_iter().flatten());
        }
        let front = choose(addresses, &mut rng);
        let key = number.checked_rem(spec.keys.len());
        let mut form = Form::draw(&mut forms, spec.unusual);
        if is_aimed && spec.kinds[kind].stream && !spec.kinds[kind].once {
            form.leave_often(&mut leaving);
        }
        let attempts = Attempts {
            client: clients[number % CALLER_COUNT].clone(),
            kind: (kind, spec.kinds[kind].clone()),
            key: key.map(|key| (key, spec.keys[key].clone())),
            number,
            form,
            is_aimed,
            aims: aims.clone(),
            kept: kept[number % CALLER_COUNT].clone(),
            addresses: addresses.clone(),
        };
        let kind_of = &spec.kinds[kind];
        let has_forms = kind_of.size.is_some() && !kind_of.once;
        let prefix = if has_forms { FORMS_PREFIX } else { "s" };
        let id = format!("{prefix}{}-{number}", spec.seed);
        let take_up_seed = spec.seed ^ (number as u64) << 8;
        tasks.spawn(async move { attempts.run(began + at, id, front, take_up_seed).await });
    }
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended.into_iter().flatten());
    }
    records
}

impl Attempts {
    /// Sends the request, repeats it while it is refused, if the caller does so, and takes up its
    /// stream while it was cut.
    async fn run(
        &self,
        due: Instant,
        id: String,
        front: Option<SocketAddr>,
        seed: u64,
    ) -> Vec<RequestRecord> {
        let front = self.kept_or(front);
        let mut attempts = vec![self.send(due, id.clone(), front, None, &self.form).await];
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        for repeat in 0..self.form.repeats {
            let status = attempts.last().and_then(|last| last.outcome.status());
            if !matches!(status, Some(429 | 503)) {
                break;
            }
            let front = choose(&self.addresses, &mut rng);
            let id = format!("{id}-r{repeat}");
            attempts.push(self.send(Instant::now(), id, front, None, &self.form).await);
        }
        let kind = &self.kind.1;
        if !kind.stream || kind.once {
            return attempts;
        }
        let most = attempts.len() + MAX_ATTEMPTS - 1;
        while attempts.len() < most {
            let Some(taken_up) = part_received(&attempts) else {
                break;
            };
            sleep(Duration::from_millis(rng.random_range(TAKE_UP_MS))).await;
            let (front, form) = self.take_up(&mut rng);
            let id = format!("{id}-{}", attempts.len());
            let sent = self.send(Instant::now(), id, front, Some(taken_up), &form);
            attempts.push(sent.await);
        }
        attempts
    }

    /// Returns the instance at which the caller takes a stream up, and the form of the request.
    fn take_up(&self, rng: &mut Pcg64Mcg) -> (Option<SocketAddr>, Form) {
        let front = choose(&self.addresses, rng);
        if !self.is_aimed {
            return (front, self.form.clone());
        }
        let form = self.form.of_take_up(rng);
        let mut aims = self.aims.lock().unwrap_or_else(PoisonError::into_inner);
        let front = aims.choose(front, rng);
        aims.count(front, form.has_odd_place());
        (front, form)
    }

    /// Returns the instance that the caller stays with, if it does, or else `front`.
    fn kept_or(&self, front: Option<SocketAddr>) -> Option<SocketAddr> {
        if !self.form.stays {
            return front;
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.is_none() {
            *kept = front;
        }
        *kept
    }

    /// Sends one request and returns its record.
    async fn send(
        &self,
        due: Instant,
        id: String,
        front: Option<SocketAddr>,
        taken_up: Option<TakenUp>,
        form: &Form,
    ) -> RequestRecord {
        let request = front.map(|front| self.build(front, &id, taken_up.as_ref()));
        let deadline = self.kind.1.deadline.unwrap_or(DEADLINE);
        let mut first_byte = None;
        let outcome = match (request, front) {
            (Some(request), Some(front)) => {
                let exchange = async {
                    if form.is_alone() {
                        exchange_alone(front, request, &id, &mut first_byte, form).await
                    } else {
                        exchange(&self.client, request, &id, &mut first_byte).await
                    }
                };
                let outcome = timeout(deadline + ANSWER_SLACK, exchange).await;
                outcome.unwrap_or(Outcome::GaveUp)
            }
            _ => Outcome::Unsent,
        };
        if outcome == Outcome::Unsent {
            // The process is gone, so that the caller chooses another instance.
            let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
            *kept = kept.filter(|kept| Some(*kept) != front);
        }
        RequestRecord {
            id,
            kind: self.kind.0,
            key: self.key.as_ref().map(|key| key.0),
            front,
            due,
            ended: Instant::now(),
            first_byte,
            outcome,
            taken_up,
        }
    }

    /// Builds a request, which takes up a stream if the caller has a part of it.
    fn build(
        &self,
        front: SocketAddr,
        id: &str,
        taken_up: Option<&TakenUp>,
    ) -> Request<Full<Bytes>> {
        let kind = &self.kind.1;
        let shared = SHARED_PARTS[self.number % SHARED_PARTS.len()];
        let mut request = caller::request_with_parts(front, &kind.path, id, &[shared]);
        let prompt = kind.size.map(|size| {
            let part = FIRST_PART + self.number as u32 % size.parts;
            Prompt {
                shared: (format!("{part:x}"), size.shared_tokens),
                own_tokens: size.own_tokens,
                events: size.events,
            }
        });
        let deadline = kind.deadline.unwrap_or(DEADLINE);
        caller::describe(&mut request, id, deadline, prompt.as_ref());
        if kind.is_read {
            *request.method_mut() = Method::GET;
            *request.body_mut() = Full::default();
        }
        if let Some(part) = taken_up {
            caller::take_up(&mut request, &part.stream, part.last);
        }
        if let Some((_, key)) = &self.key
            && let Ok(value) = HeaderValue::from_str(&format!("Bearer {key}"))
        {
            request.headers_mut().insert(AUTHORIZATION, value);
        }
        request
    }
}

/// Returns a random address of an instance, if any is known.
fn choose(addresses: &SharedAddresses, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
    let known = addresses.lock().unwrap_or_else(PoisonError::into_inner);
    (!known.is_empty()).then(|| known[rng.random_range(0..known.len())])
}

/// Returns what a caller has of a stream after some attempts, unless it has nothing or the stream is
/// whole.
fn part_received(attempts: &[RequestRecord]) -> Option<TakenUp> {
    let (mut stream, mut last) = (None, 0);
    for attempt in attempts {
        let body = match &attempt.outcome {
            Outcome::Whole { status: 200, .. } => return None,
            Outcome::Cut {
                status: Some(200),
                body,
            }
            | Outcome::Left { status: 200, body } => body.as_slice(),
            _ => continue,
        };
        let events = body.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
        // A stream without ids has no place at which it could be taken up.
        if events > 0 && !body.starts_with(b"id:") {
            return None;
        }
        if events > 0 {
            stream.get_or_insert_with(|| attempt.id.clone());
        }
        last += events;
    }
    stream.map(|stream| TakenUp { stream, last })
}

/// Sends one request, if there is one, and waits for the end of its answer until [`ANSWER_SLACK`]
/// after [`DEADLINE`]; returns the time at which the first part of the body was received as well.
pub(crate) async fn send_request(
    client: &Client,
    request: Option<Request<Full<Bytes>>>,
    id: &str,
) -> (Outcome, Option<Instant>) {
    let mut first_byte = None;
    let Some(request) = request else {
        return (Outcome::Unsent, first_byte);
    };
    let exchange = exchange(client, request, id, &mut first_byte);
    let outcome = timeout(DEADLINE + ANSWER_SLACK, exchange).await;
    (outcome.unwrap_or(Outcome::GaveUp), first_byte)
}

/// Sends one request and reads its answer; sets `first_byte` as soon as a part of the body is
/// received.
async fn exchange(
    client: &Client,
    request: Request<Full<Bytes>>,
    id: &str,
    first_byte: &mut Option<Instant>,
) -> Outcome {
    match client.send(request).await {
        Ok(response) => read_answer(response, id, first_byte, &Form::default()).await,
        Err(HttpError::Connect(_)) => Outcome::Unsent,
        Err(HttpError::Broken(_)) => Outcome::Cut {
            status: None,
            body: Vec::new(),
        },
    }
}

/// Sends a request in a form on a connection of its own, and reads its answer.
async fn exchange_alone(
    front: SocketAddr,
    mut request: Request<Full<Bytes>>,
    id: &str,
    first_byte: &mut Option<Instant>,
    form: &Form,
) -> Outcome {
    form.apply(&mut request);
    let Ok(Ok(stream)) = timeout(CONNECT_TIME, TcpStream::connect(front)).await else {
        return Outcome::Unsent;
    };
    let cut = Outcome::Cut {
        status: None,
        body: Vec::new(),
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return cut;
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(connection);
    // The connection is closed as the task ends with this set.
    match sender.send_request(request).await {
        Ok(response) => read_answer(response, id, first_byte, form).await,
        Err(_) => cut,
    }
}

/// Reads the body of an answer up to its end, to the failure of the connection or to the point where
/// the caller leaves.
async fn read_answer(
    response: Response<Incoming>,
    id: &str,
    first_byte: &mut Option<Instant>,
    form: &Form,
) -> Outcome {
    let (head, mut body) = response.into_parts();
    let status = head.status.as_u16();
    let (mut bytes, mut blocks) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        first_byte.get_or_insert_with(Instant::now);
        let Ok(frame) = frame else {
            return Outcome::Cut {
                status: Some(status),
                body: bytes,
            };
        };
        bytes.extend(frame.into_data().unwrap_or_default());
        blocks += 1;
        if status == 200 && form.leaves == Some(blocks) {
            return Outcome::Left {
                status,
                body: bytes,
            };
        }
        if !form.reading.is_zero() {
            sleep(form.reading).await;
        }
    }
    first_byte.get_or_insert_with(Instant::now);
    Outcome::Whole {
        status,
        signed: is_signed_answer(&head.headers, id),
        body: bytes,
    }
}
