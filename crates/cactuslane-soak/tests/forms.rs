//! The forms of requests follow from a seed, and stay within what is allowed.

use cactuslane_soak::load::forms::Form;
use hyper::header::{CONNECTION, TRANSFER_ENCODING};
use hyper::{Request, Version};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Returns a request that takes up a stream.
fn request() -> Request<()> {
    let request = Request::post("http://127.0.0.1:80/digest/1")
        .header("x-request-id", "r1")
        .header("last-event-id", "3")
        .header("resumes", "r0");
    request.body(()).expect("it is a request")
}

#[test]
fn the_usual_form_changes_nothing_but_the_place_of_the_address() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let form = Form::draw(&mut rng, 0.0);
    assert_eq!(form, Form::default());
    assert!(!form.is_alone());
    let mut usual = request();
    form.apply(&mut usual);
    assert_eq!(usual.uri(), "/digest/1");
    assert_eq!(usual.headers(), request().headers());
    assert_eq!(usual.version(), Version::HTTP_11);
}

#[test]
fn a_seed_draws_all_forms() {
    let draw = || {
        let mut rng = Pcg64Mcg::seed_from_u64(7);
        let forms = (0..200).map(move |_| Form::draw(&mut rng, 1.0));
        forms.collect::<Vec<Form>>()
    };
    let forms = draw();
    assert_eq!(forms, draw());
    let has: [fn(&Form) -> bool; 9] = [
        |form| form.version == Version::HTTP_10,
        |form| form.closes,
        |form| form.is_chunked,
        |form| form.listed.contains(&"last-event-id"),
        |form| form.listed.contains(&"x-request-id"),
        |form| !form.doubled.is_empty(),
        |form| !form.reading.is_zero(),
        |form| form.leaves.is_some(),
        |form| form.repeats > 0 && form.stays,
    ];
    for (number, has) in has.into_iter().enumerate() {
        assert!(forms.iter().any(has), "form {number}");
    }
}

#[test]
fn headers_are_listed_and_doubled() {
    let form = Form {
        closes: true,
        is_chunked: true,
        listed: vec!["last-event-id", "x-kiosk"],
        doubled: vec!["resumes", "x-absent"],
        ..Form::default()
    };
    assert!(form.is_alone());
    let mut sent = request();
    form.apply(&mut sent);
    let headers = sent.headers();
    assert_eq!(headers[CONNECTION], "last-event-id, x-kiosk, close");
    assert_eq!(headers[TRANSFER_ENCODING], "chunked");
    assert_eq!(
        headers.get_all("resumes").iter().collect::<Vec<_>>(),
        ["r0", "r0"]
    );
    assert_eq!(headers["last-event-id"], "3");
    assert!(!headers.contains_key("x-absent"));
}

// Guards against take-ups that hardly ever have odd headers.
#[test]
fn half_of_the_streams_are_taken_up_with_odd_headers() {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let form = Form {
        closes: true,
        ..Form::default()
    };
    let forms: Vec<Form> = (0..400).map(|_| form.of_take_up(&mut rng)).collect();
    assert!(forms.iter().all(|form| form.closes));
    let count = |has: fn(&Form) -> bool| forms.iter().filter(|form| has(form)).count();
    let odd = count(Form::has_odd_place);
    assert!((150..250).contains(&odd), "{odd}");
    for name in ["last-event-id", "resumes"] {
        let of = |list: fn(&Form) -> &Vec<&'static str>| {
            let has = |form: &&Form| list(form).contains(&name);
            forms.iter().filter(has).count()
        };
        assert!(of(|form| &form.listed) > 50 && of(|form| &form.doubled) > 10);
    }
}
