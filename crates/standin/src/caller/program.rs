//! One program of the trial, as a caller's agent would run it.

use std::io::Write;
use std::net::SocketAddr;

use serde_json::json;

use crate::caller::{Client, Reply};

/// Runs the trial's program through two VMs and prints what comes.
///
/// # Errors
///
/// Fails when a call is not answered as it should be.
pub fn run_program(first: SocketAddr, second: SocketAddr) -> Result<(), String> {
    let one = Client::new(first, "grower-desk-key");
    let two = Client::new(second, "grower-desk-key");

    println!("-- call 1: quote, through {first}");
    let reply = chat(
        &one,
        "Quote 40 stacks of grade A cork oak bark at Hitoyoshi.",
        24,
        &[],
    )?;
    let program = reply.program.clone();
    println!("   program {program}");

    println!("-- call 2: what the grove has, through {second}");
    let headers = [("Lagoon-Program", program.as_str()), ("Lagoon-Call", "2")];
    service(&two, "quote-lookup", &headers, "lookup")?;

    println!("-- sub-agent under {program}: draft, through {second}");
    let child = [
        ("Lagoon-Program", "draft"),
        ("Lagoon-Parent", program.as_str()),
        ("Lagoon-Call", "1"),
    ];
    let draft = chat(&two, "Draft the harvest contract for grove 7.", 24, &child)?;
    println!("   program {}", draft.program);

    println!("-- call 3: booking that must not run twice, through {first}");
    let headers = [("Lagoon-Program", program.as_str()), ("Lagoon-Call", "3")];
    let booked = service(&one, "booking", &headers, "slot 14, grove 7")?;

    println!("-- call 3 again, through {second}: gets the recorded answer");
    let again = service(&two, "booking", &headers, "slot 14, grove 7")?;
    if again.text != booked.text {
        return Err(format!(
            "booking answered {} and then {}",
            booked.text, again.text
        ));
    }

    println!("-- call 3 with another content: is refused");
    let body = json!({"request": "slot 15, grove 7"});
    let refused = one.call_service("booking", &headers, &body)?;
    println!("   {} {}", refused.status, refused.text);
    if refused.status != 409 {
        return Err(format!("status {} where 409 was due", refused.status));
    }

    println!("-- call 4: confirmation, through {second}");
    let headers = [("Lagoon-Program", program.as_str()), ("Lagoon-Call", "4")];
    chat(&two, "Confirm slot 14 to the grower.", 16, &headers)?;
    println!("-- second market: a plan for a plant");
    let plant = Client::new(first, "penang-plants-key");
    chat_model(
        &plant,
        "planner",
        "Plan which chillers line 3 sheds for 20 minutes.",
        24,
        &[],
    )?;
    println!("program={program}");
    Ok(())
}

fn chat(
    client: &Client,
    prompt: &str,
    tokens: u64,
    headers: &[(&str, &str)],
) -> Result<Reply, String> {
    chat_model(client, "contract-agent", prompt, tokens, headers)
}

fn chat_model(
    client: &Client,
    model: &str,
    prompt: &str,
    tokens: u64,
    headers: &[(&str, &str)],
) -> Result<Reply, String> {
    print!("   ");
    let reply = client.chat(model, prompt, tokens, headers, |text| {
        print!("{text}");
        // A closed terminal ends the trial elsewhere.
        let _ = std::io::stdout().flush();
    })?;
    println!("\n   {}", reply.summary);
    if !reply.whole {
        return Err(format!(
            "answer is not whole: {} {}",
            reply.status, reply.text
        ));
    }
    Ok(reply)
}

fn service(
    client: &Client,
    name: &str,
    headers: &[(&str, &str)],
    request: &str,
) -> Result<Reply, String> {
    let reply = client.call_service(name, headers, &json!({"request": request}))?;
    println!("   {} {}", reply.status, reply.text);
    println!("   {}", reply.summary);
    if reply.status != 200 {
        return Err(format!("{name} answered {}", reply.status));
    }
    Ok(reply)
}
