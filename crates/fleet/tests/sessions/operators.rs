//! Golden tests of the output that operators get.

use expect_test::expect;

use crate::fixture::Fixture;
use crate::fixture::sample_intent;
use crate::transcript::plan_name;

#[ntex::test]
async fn operators_plan_confirm_and_see_the_status() {
    let fixture = Fixture::start_unconfigured().await;
    let intent = sample_intent().display().to_string();
    let shown = |text: String, plan: &str| text.replace(plan, "PLAN");
    expect![[r#"
        $ lycheeknot status
        confirmed: revision 0
        seen by: s1-entry-1
        VM                   ROLE   CENTRE   STATE     REVISION      LOAD      AGE     HOLDS
        s1-entry-1           entry  s1       starting  0             0/0       AGE
        s1-model-1           agent  s1       live      0             0/8       AGE    motion-large,motion-small
        s1-model-2           agent  s1       live      0             0/8       AGE    motion-large,motion-small
        s1-registry-1        agent  s1       live      0             0/16      AGE    registry
        s2-entry-1           entry  s2       starting  0             0/0       AGE
        s2-model-1           agent  s2       live      0             0/8       AGE    motion-large,motion-small
        s2-model-2           agent  s2       live      0             0/8       AGE    motion-large,motion-small
        s2-registry-1        agent  s2       live      0             0/16      AGE    registry
        s3-model-1           agent  s3       live      0             0/8       AGE    motion-large,motion-small
        s3-model-2           agent  s3       live      0             0/8       AGE    motion-large,motion-small
        exit 0
    "#]].assert_eq(&fixture.run_cli(&["status"]));
    let planned = fixture.run_cli(&["plan", &intent]);
    let plan = plan_name(&planned);
    expect![[r#"
        $ lycheeknot plan ROOT/deploy/sofia/intent.toml
        plan PLAN on revision 0
        changes:
          add rank interactive
          add rank standard
          add rank batch
          add service archive
          add service brief
          add service classify
          add service outline
          add service registry
          add account adjudicators
          add account archive-team
          add account clerks
          add account coaches-north
          add account coaches-south
          add account school-1
          add account school-2
          add account school-3
          add account school-4
          add account school-5
          add engine s1-model-1: holds motion-large
          add engine s1-model-2: holds motion-large
          add engine s2-model-1: holds motion-large
          add engine s2-model-2: holds motion-large
          add engine s3-model-1: holds motion-large
          add engine s3-model-2: holds motion-small
          change limit fleet: accelerators 0 to 10
        engines:
          motion-large: 5 model engines in place of 0: 2 in s1, 2 in s2, 1 in s3
          motion-small: 1 model engine in place of 0: 1 in s3
          registry: 2 plain engines: 1 in s1, 1 in s2
        budget: 6 of 10 accelerators used, 6 model engines found
        effects:
          rank interactive: keeps 20% of each of 1 model engines, 82.6% of all worth, objective 95%
          rank standard: keeps 20% of each of 5 model engines, 16.5% of all worth, objective 95%
          rank batch: keeps 10% of each of 5 model engines, 0.8% of all worth, objective 95%
          account adjudicators: keeps 80.0% of archive, 100.0% of brief, 40.0% of registry
          account archive-team: keeps 20.0% of archive
          account clerks: keeps 44.4% of classify, 40.0% of registry
          account coaches-north: keeps 25.0% of outline, 10.0% of registry
          account coaches-south: keeps 25.0% of outline, 10.0% of registry
          account school-1: keeps 11.1% of classify, 25.0% of outline
          account school-2: keeps 11.1% of classify, 25.0% of outline
          account school-3: keeps 11.1% of classify
          account school-4: keeps 11.1% of classify
          account school-5: keeps 11.1% of classify
        warnings:
          motion-small would be on one engine only: its services stop if that engine fails; add engines or raise the budget
        exit 0
    "#]]
    .assert_eq(&shown(planned.clone(), plan));
    expect![[r#"
        $ lycheeknot --json plan ROOT/deploy/sofia/intent.toml
        {"name":"PLAN","base":0,"document":{"revision":1,"operator":"demo","ranks":[{"name":"interactive","first_token":{"secs":0,"nanos":370000000},"token_gap":{"secs":0,"nanos":71000000},"patience":{"secs":2,"nanos":0},"worth":100,"minimum":20,"objective":95},{"name":"standard","first_token":{"secs":2,"nanos":0},"token_gap":{"secs":0,"nanos":120000000},"patience":{"secs":15,"nanos":0},"worth":20,"minimum":20,"objective":95},{"name":"batch","first_token":{"secs":20,"nanos":0},"token_gap":{"secs":0,"nanos":400000000},"patience":{"secs":60,"nanos":0},"worth":1,"minimum":10,"objective":95}],"services":[{"name":"archive","rank":2,"accounts":["adjudicators","archive-team"],"kind":{"chat":{"model":"motion-large","output_tokens":1024}}},{"name":"brief","rank":1,"accounts":["adjudicators"],"kind":{"chat":{"model":"motion-large","output_tokens":1024}}},{"name":"classify","rank":0,"accounts":["clerks","school-1","school-2","school-3","school-4","school-5"],"kind":{"chat":{"model":"motion-small","output_tokens":32}}},{"name":"outline","rank":1,"accounts":["coaches-north","coaches-south","school-1","school-2"],"kind":{"chat":{"model":"motion-large","output_tokens":512}}},{"name":"registry","rank":0,"accounts":["adjudicators","clerks","coaches-north","coaches-south"],"kind":{"plain":{"pool":"registry","idempotent":["/motions/search"]}}}],"accounts":[{"name":"adjudicators","weight":4,"tokens":["e656d2514a0eb8ec3d41d5f056a387e854fe649e180d5a4c81bf0e859c34e42a"]},{"name":"archive-team","weight":1,"tokens":["45358d42d5adbe5688c729304e26b56397be0f56b64a1d889dcbc33570485932"]},{"name":"clerks","weight":4,"tokens":["0c9863110a29be88a0537d09c983728df6ad1232360ba155a2d3155dfff0a884"]},{"name":"coaches-north","weight":1,"tokens":["70e5c6c0e35e5639ec62bd3c60ee5c16af907af2a9feb496f58fdede42a66557"]},{"name":"coaches-south","weight":1,"tokens":["dff4b10647513a0a04dd6e6ce96b89d85cc727ade0da7cf7e1c44dfbc534977d"]},{"name":"school-1","weight":1,"tokens":["c0757eb56e2dfcdbd9db10871b4807e4f0f5f341262d9d9478a056da516e1eb7"]},{"name":"school-2","weight":1,"tokens":["58c7646a1631109dd9214c3c512a0069fd66a3a576db6246f34c72a6adbb2261"]},{"name":"school-3","weight":1,"tokens":["dfd0eaeb71d7603e947c98290c393ddf9c1d8bf1cf381a1f888310de25050f6f"]},{"name":"school-4","weight":1,"tokens":["4ee383605f01bb760f8ac6783ca14fd095ceb50c2ba76e934a7fc71ff1ccd224"]},{"name":"school-5","weight":1,"tokens":["293dd6f2ff38fd6bd565855bc11a029001d9af40860415b7cbccc0e98f42f31c"]}],"assignments":[{"engine":"s1-model-1","holds":["motion-large"]},{"engine":"s1-model-2","holds":["motion-large"]},{"engine":"s2-model-1","holds":["motion-large"]},{"engine":"s2-model-2","holds":["motion-large"]},{"engine":"s3-model-1","holds":["motion-large"]},{"engine":"s3-model-2","holds":["motion-small"]}],"limit":{"load_bound":1.25,"attempts":3,"retry_percent":20,"accelerators":10,"loads":2,"claim_age":{"secs":3600,"nanos":0}}},"changes":[{"kind":"add","thing":"rank","name":"interactive","detail":""},{"kind":"add","thing":"rank","name":"standard","detail":""},{"kind":"add","thing":"rank","name":"batch","detail":""},{"kind":"add","thing":"service","name":"archive","detail":""},{"kind":"add","thing":"service","name":"brief","detail":""},{"kind":"add","thing":"service","name":"classify","detail":""},{"kind":"add","thing":"service","name":"outline","detail":""},{"kind":"add","thing":"service","name":"registry","detail":""},{"kind":"add","thing":"account","name":"adjudicators","detail":""},{"kind":"add","thing":"account","name":"archive-team","detail":""},{"kind":"add","thing":"account","name":"clerks","detail":""},{"kind":"add","thing":"account","name":"coaches-north","detail":""},{"kind":"add","thing":"account","name":"coaches-south","detail":""},{"kind":"add","thing":"account","name":"school-1","detail":""},{"kind":"add","thing":"account","name":"school-2","detail":""},{"kind":"add","thing":"account","name":"school-3","detail":""},{"kind":"add","thing":"account","name":"school-4","detail":""},{"kind":"add","thing":"account","name":"school-5","detail":""},{"kind":"add","thing":"engine","name":"s1-model-1","detail":"holds motion-large"},{"kind":"add","thing":"engine","name":"s1-model-2","detail":"holds motion-large"},{"kind":"add","thing":"engine","name":"s2-model-1","detail":"holds motion-large"},{"kind":"add","thing":"engine","name":"s2-model-2","detail":"holds motion-large"},{"kind":"add","thing":"engine","name":"s3-model-1","detail":"holds motion-large"},{"kind":"add","thing":"engine","name":"s3-model-2","detail":"holds motion-small"},{"kind":"change","thing":"limit","name":"fleet","detail":"accelerators 0 to 10"}],"holders":[{"name":"motion-large","role":"model","before":0,"centres":[{"name":"s1","engines":2},{"name":"s2","engines":2},{"name":"s3","engines":1}]},{"name":"motion-small","role":"model","before":0,"centres":[{"name":"s3","engines":1}]},{"name":"registry","role":"plain","before":2,"centres":[{"name":"s1","engines":1},{"name":"s2","engines":1}]}],"budget":{"accelerators":10,"assigned":6,"engines":6},"effects":[{"rank":{"name":"interactive","minimum":20,"engines":1,"objective":95,"worth":82.64462809917356}},{"rank":{"name":"standard","minimum":20,"engines":5,"objective":95,"worth":16.52892561983471}},{"rank":{"name":"batch","minimum":10,"engines":5,"objective":95,"worth":0.8264462809917356}},{"account":{"name":"adjudicators","shares":[{"service":"archive","percent":80.0},{"service":"brief","percent":100.0},{"service":"registry","percent":40.0}]}},{"account":{"name":"archive-team","shares":[{"service":"archive","percent":20.0}]}},{"account":{"name":"clerks","shares":[{"service":"classify","percent":44.44444444444444},{"service":"registry","percent":40.0}]}},{"account":{"name":"coaches-north","shares":[{"service":"outline","percent":25.0},{"service":"registry","percent":10.0}]}},{"account":{"name":"coaches-south","shares":[{"service":"outline","percent":25.0},{"service":"registry","percent":10.0}]}},{"account":{"name":"school-1","shares":[{"service":"classify","percent":11.11111111111111},{"service":"outline","percent":25.0}]}},{"account":{"name":"school-2","shares":[{"service":"classify","percent":11.11111111111111},{"service":"outline","percent":25.0}]}},{"account":{"name":"school-3","shares":[{"service":"classify","percent":11.11111111111111}]}},{"account":{"name":"school-4","shares":[{"service":"classify","percent":11.11111111111111}]}},{"account":{"name":"school-5","shares":[{"service":"classify","percent":11.11111111111111}]}}],"warnings":[{"single":{"name":"motion-small"}}]}
        exit 0
    "#]].assert_eq(&shown(fixture.run_cli(&["--json", "plan", &intent]), plan));
    let confirm = ["confirm", plan, "--wait", "60"];
    expect![[r#"
        $ lycheeknot confirm PLAN --wait 60
        revision 1 is confirmed and in force at 10 processes
        exit 0
    "#]]
    .assert_eq(&shown(fixture.run_cli(&confirm), plan));
    let confirm = ["--json", "confirm", plan, "--wait", "60"];
    expect![[r#"
        $ lycheeknot --json confirm PLAN --wait 60
        {"revision":1,"processes":10}
        exit 0
    "#]]
    .assert_eq(&shown(fixture.run_cli(&confirm), plan));
    fixture.wait_until_ready().await;
    fixture.wait_until_unloaded().await;
    expect![[r#"
        $ lycheeknot status
        confirmed: revision 1
        seen by: s1-entry-1
        VM                   ROLE   CENTRE   STATE     REVISION      LOAD      AGE     HOLDS
        s1-entry-1           entry  s1       live      1             0/0       AGE
        s1-model-1           agent  s1       live      1             0/8       AGE    motion-large
        s1-model-2           agent  s1       live      1             0/8       AGE    motion-large
        s1-registry-1        agent  s1       live      1             0/16      AGE    registry
        s2-entry-1           entry  s2       live      1             0/0       AGE
        s2-model-1           agent  s2       live      1             0/8       AGE    motion-large
        s2-model-2           agent  s2       live      1             0/8       AGE    motion-large
        s2-registry-1        agent  s2       live      1             0/16      AGE    registry
        s3-model-1           agent  s3       live      1             0/8       AGE    motion-large
        s3-model-2           agent  s3       live      1             0/8       AGE    motion-small
        exit 0
    "#]]
    .assert_eq(&fixture.run_cli(&["status"]));
    expect![[r#"
        $ lycheeknot --json status
        {"confirmed":1,"status":{"stamp":{"vm":"s1-entry-1","incarnation":N,"revision":1},"members":[{"vm":"s1-entry-1","incarnation":N,"role":"entry","centre":"s1","state":"live","revision":1,"control":"ADDRESS","holds":[],"load":{"running":0,"waiting":0,"slots":0,"tokens":0},"age":{AGE}},{"vm":"s1-model-1","incarnation":N,"role":"agent","centre":"s1","state":"live","revision":1,"control":"ADDRESS","holds":["motion-large"],"load":{"running":0,"waiting":0,"slots":8,"tokens":0},"age":{AGE}},{"vm":"s1-model-2","incarnation":N,"role":"agent","centre":"s1","state":"live","revision":1,"control":"ADDRESS","holds":["motion-large"],"load":{"running":0,"waiting":0,"slots":8,"tokens":0},"age":{AGE}},{"vm":"s1-registry-1","incarnation":N,"role":"agent","centre":"s1","state":"live","revision":1,"control":"ADDRESS","holds":["registry"],"load":{"running":0,"waiting":0,"slots":16,"tokens":0},"age":{AGE}},{"vm":"s2-entry-1","incarnation":N,"role":"entry","centre":"s2","state":"live","revision":1,"control":"ADDRESS","holds":[],"load":{"running":0,"waiting":0,"slots":0,"tokens":0},"age":{AGE}},{"vm":"s2-model-1","incarnation":N,"role":"agent","centre":"s2","state":"live","revision":1,"control":"ADDRESS","holds":["motion-large"],"load":{"running":0,"waiting":0,"slots":8,"tokens":0},"age":{AGE}},{"vm":"s2-model-2","incarnation":N,"role":"agent","centre":"s2","state":"live","revision":1,"control":"ADDRESS","holds":["motion-large"],"load":{"running":0,"waiting":0,"slots":8,"tokens":0},"age":{AGE}},{"vm":"s2-registry-1","incarnation":N,"role":"agent","centre":"s2","state":"live","revision":1,"control":"ADDRESS","holds":["registry"],"load":{"running":0,"waiting":0,"slots":16,"tokens":0},"age":{AGE}},{"vm":"s3-model-1","incarnation":N,"role":"agent","centre":"s3","state":"live","revision":1,"control":"ADDRESS","holds":["motion-large"],"load":{"running":0,"waiting":0,"slots":8,"tokens":0},"age":{AGE}},{"vm":"s3-model-2","incarnation":N,"role":"agent","centre":"s3","state":"live","revision":1,"control":"ADDRESS","holds":["motion-small"],"load":{"running":0,"waiting":0,"slots":8,"tokens":0},"age":{AGE}}]}}
        exit 0
    "#]].assert_eq(&fixture.run_cli(&["--json", "status"]));
}

#[ntex::test]
async fn operators_get_errors_for_conflicts_and_mistakes() {
    let fixture = Fixture::start_unconfigured().await;
    let text = std::fs::read_to_string(sample_intent()).expect("the file");
    let first = fixture.write_file("first.toml", &text);
    let second = fixture.write_file("second.toml", &text.replace("worth = 20", "worth = 30"));
    let first = fixture.run_cli(&["plan", &first]);
    let second = fixture.run_cli(&["plan", &second]);
    let (first, second) = (plan_name(&first), plan_name(&second));
    let shown =
        |args: &[&str]| fixture.run_cli(args).replace(first, "FIRST").replace(second, "SECOND");
    expect![[r#"
        $ lycheeknot confirm FIRST
        revision 1 is confirmed
        exit 0
    "#]]
    .assert_eq(&shown(&["confirm", first]));
    expect![[r#"
        $ lycheeknot confirm SECOND
        lycheeknot: not applied: revision 1 was confirmed by demo since this plan was computed (add rank interactive; add rank standard; add rank batch and 22 more changes); run `lycheeknot plan` again on top of it
        exit 3
    "#]].assert_eq(&shown(&["confirm", second]));
    expect![[r#"
        $ lycheeknot --json confirm SECOND
        {"error":"not applied: revision 1 was confirmed by demo since this plan was computed (add rank interactive; add rank standard; add rank batch and 22 more changes); run `lycheeknot plan` again on top of it","exit":3}
        exit 3
    "#]].assert_eq(&shown(&["--json", "confirm", second]));
    expect![[r#"
        $ lycheeknot confirm none
        lycheeknot: no plan is named none: run `lycheeknot plan` again, as plans are kept for a day
        exit 1
    "#]]
    .assert_eq(&shown(&["confirm", "none"]));
    let text = text.replace("rank = \"batch\"", "rank = \"urgent\"");
    let text = text.replace("\"archive-team\", ", "\"nobody\", ");
    let intent = fixture.write_file("intent.toml", &text);
    expect![[r#"
        $ lycheeknot intent check FILES/intent.toml
        lycheeknot: FILES/intent.toml has 2 faults:
          line 59: service.rank: rank "urgent" is not declared: use one of: interactive, standard, batch
          line 60: service.accounts: account "nobody" is not declared: declare it under [[account]] or take it out
        exit 5
    "#]].assert_eq(&shown(&["intent", "check", &intent]));
    expect![[r#"
        $ lycheeknot --json plan FILES/intent.toml
        {"error":"FILES/intent.toml has 2 faults:\n  line 59: service.rank: rank \"urgent\" is not declared: use one of: interactive, standard, batch\n  line 60: service.accounts: account \"nobody\" is not declared: declare it under [[account]] or take it out","exit":5}
        exit 5
    "#]].assert_eq(&shown(&["--json", "plan", &intent]));
    let settings = std::fs::read_to_string(fixture.fleet.entries[0].settings()).expect("the file");
    let settings = settings.replace("entry\"", "guard\"").replace("workers", "worker");
    let settings = fixture.write_file("settings.toml", &settings);
    expect![[r#"
        $ lycheeknot settings check FILES/settings.toml
        lycheeknot: 
          line 2, `role`: is not one of the choices; use "entry", "agent" or "gateway"
          line 21, `limit.worker`: is not known; remove it or use one of: body_bytes, header_timeout_ms, connections, stop_grace_ms, resume_grace_ms, workers
        exit 5
    "#]].assert_eq(&shown(&["settings", "check", &settings]));
    expect![[r#"
        $ lycheeknot --json settings check FILES/settings.toml
        {"error":"\n  line 2, `role`: is not one of the choices; use \"entry\", \"agent\" or \"gateway\"\n  line 21, `limit.worker`: is not known; remove it or use one of: body_bytes, header_timeout_ms, connections, stop_grace_ms, resume_grace_ms, workers","exit":5}
        exit 5
    "#]].assert_eq(&shown(&["--json", "settings", "check", &settings]));
}
