// Requests, records and recovery of jobs. job_controller_dispatch.cc offers and
// stops tasks and holds capacity for all-at-once jobs.
//
// Every write of a job's record is conditional on the revisions of both that
// record and the record of its home shard. A controller that has lost the shard
// therefore cannot write, however late its message arrives.

#include "lentilscale/job_controller.h"

#include <fmt/format.h>

#include <algorithm>

#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/refusal.h"
#include "lentilscale/shard_map.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr auto kHttpOk = 200;
constexpr Millis kReconcileIntervalMs = 150;
constexpr int kAttemptCounterBits = 20;
constexpr std::size_t kMaxListedJobs = 1000;

auto Refuse(const JobController::Done& done, ErrorCode code,
            const std::string& reason) -> void {
  done(GetErrorInfo(code).http_status_, MakeRefusal(code, reason));
}

}  // namespace

JobController::JobController(uv_loop_t* loop, Store* store, StoreView* view,
                             Members* members, ShardOwner* owner,
                             PeerLink* link, Metrics* metrics,
                             std::function<Millis()> rights_until,
                             const Options& options)
    : loop_(loop),
      store_(store),
      view_(view),
      members_(members),
      owner_(owner),
      link_(link),
      metrics_(metrics),
      rights_until_(std::move(rights_until)),
      options_(options),
      random_(options.seed_) {
  link_->AddMethod(kTaskEvents, [this](const Json::Value& params) {
    return OnTaskEvents(params);
  });
}

auto JobController::HasRights() const -> bool {
  return rights_until_() > MonotonicMs();
}

auto JobController::IsActiveHome(const std::string& shard) const -> bool {
  const auto it = homes_.find(shard);
  return it != homes_.end() && it->second.is_loaded_ && !it->second.is_frozen_;
}

auto JobController::SetConfiguration(const Configuration& configuration)
    -> void {
  configuration_ = configuration;
}

auto JobController::SetWorkers(const std::vector<WorkerInfo>& workers) -> void {
  max_worker_capacity_.clear();
  total_slots_.clear();
  for (const auto& info : workers) {
    auto& max_capacity = max_worker_capacity_[info.service_];
    max_capacity.slots_ = std::max(max_capacity.slots_, info.capacity_.slots_);
    max_capacity.cpu_milli_ =
        std::max(max_capacity.cpu_milli_, info.capacity_.cpu_milli_);
    max_capacity.memory_mb_ =
        std::max(max_capacity.memory_mb_, info.capacity_.memory_mb_);
    max_capacity.accelerators_ =
        std::max(max_capacity.accelerators_, info.capacity_.accelerators_);
    total_slots_[info.service_] += info.capacity_.slots_;
  }
}

auto JobController::OnOwned(const std::string& shard, std::int64_t epoch)
    -> void {
  // If only the epoch changed, the jobs are already loaded.
  auto& home = homes_[shard];
  home.epoch_ = epoch;
  home.attempt_count_ = 0;
  if (!home.is_loaded_) {
    Load(shard);
  }
}

auto JobController::OnLost(const std::string& shard) -> void {
  homes_.erase(shard);
  std::erase_if(jobs_, [&shard](const auto& item) {
    return item.second.job_.home() == shard;
  });
}

auto JobController::SetFrozen(const std::string& shard, bool is_frozen)
    -> void {
  const auto it = homes_.find(shard);
  if (it != homes_.end()) {
    it->second.is_frozen_ = is_frozen;
  }
}

auto JobController::Load(const std::string& shard) -> void {
  auto& home = homes_.at(shard);
  if (home.is_loading_) {
    return;
  }
  home.is_loading_ = true;
  StoreTxn txn;
  txn.GetPrefix(kJobPrefix, 0);
  const auto epoch = home.epoch_;
  store_->Commit(txn, [this, shard, epoch](const StoreResult& result) {
    OnLoaded(shard, epoch, result);
  });
}

auto JobController::OnLoaded(const std::string& shard, std::int64_t epoch,
                             const StoreResult& result) -> void {
  const auto it = homes_.find(shard);
  if (it == homes_.end()) {
    return;
  }
  it->second.is_loading_ = false;
  if (result.outcome_ != StoreOutcome::kAnswered ||
      it->second.epoch_ != epoch) {
    return;
  }
  it->second.is_loaded_ = true;
  std::size_t count = 0;
  for (const auto& stored : result.entries_) {
    try {
      auto job = Job::FromRecord(ParseJson(stored.value_));
      if (job.home() != shard || jobs_.contains(job.spec().id_)) {
        continue;
      }
      ++count;
      const auto id = job.spec().id_;
      const auto is_recovering = !job.AllTasksEnded();
      Entry entry;
      entry.job_ = std::move(job);
      entry.mod_revision_ = stored.mod_revision_;
      entry.is_recovering_ = is_recovering;
      jobs_.emplace(id, std::move(entry));
    } catch (const Error& e) {
      LogEvent(Event::kInternalError,
               {{"key", stored.key_}, {"problem", e.what()}});
    }
  }
  LogEvent(Event::kJobRecovered,
           {{"home", shard}, {"jobs", std::to_string(count)}});
}

auto JobController::MakeClaim(const std::string& home) const -> HomeOwnerClaim {
  const auto it = homes_.find(home);
  const auto epoch = it == homes_.end() ? 1 : it->second.epoch_;
  return {home, epoch, WallMs() + (rights_until_() - MonotonicMs())};
}

auto JobController::NextAttemptNumber(const std::string& home) -> std::int64_t {
  auto& state = homes_.at(home);
  return (state.epoch_ << kAttemptCounterBits) + ++state.attempt_count_;
}

auto JobController::HandleRequest(const Json::Value& request, Done done)
    -> void {
  try {
    const auto op = RequireString(request, "op");
    if (op == "submit") {
      Submit(request, done);
    } else if (op == "show") {
      Show(RequireString(request, "job_id"), done);
    } else if (op == "list") {
      List(request, done);
    } else if (op == "cancel") {
      CancelJob(RequireString(request, "job_id"),
                GetString(request, "team", ""), done);
    } else {
      Refuse(done, ErrorCode::kBadRequest, "unknown operation " + op);
    }
  } catch (const Error& e) {
    Refuse(done, e.code(), e.what());
  }
}

auto JobController::CheckRunnable(const JobSpec& spec) const -> void {
  if (configuration_.FindService(spec.service_) == nullptr) {
    throw Error(ErrorCode::kUnknownService, "no service " + spec.service_);
  }
  const auto* team = configuration_.FindTeam(spec.team_);
  const auto refuse = [](const std::string& reason) {
    throw Error(ErrorCode::kNeverRunnable, reason);
  };
  if (team == nullptr) {
    refuse("no team " + spec.team_);
  }
  const auto is_all_at_once = spec.kind_ == JobKind::kAllAtOnce;
  if (is_all_at_once && spec.count_ > team->limit_) {
    refuse(fmt::format("needs {} tasks at once; the limit of team {} is {}",
                       spec.count_, spec.team_, team->limit_));
  }
  const auto it = max_worker_capacity_.find(spec.service_);
  if (it == max_worker_capacity_.end()) {
    return;
  }
  const auto& max_capacity = it->second;
  const auto check = [&refuse](std::int64_t need, std::int64_t has,
                               const char* what) {
    if (need > has) {
      refuse(fmt::format("needs {} {} on one instance; the largest has {}",
                         need, what, has));
    }
  };
  check(spec.need_.slots_, max_capacity.slots_, "slots");
  check(spec.need_.cpu_milli_, max_capacity.cpu_milli_,
        "thousandths of a processor");
  check(spec.need_.memory_mb_, max_capacity.memory_mb_, "MB of memory");
  check(spec.need_.accelerators_, max_capacity.accelerators_, "accelerators");
  const auto slots = total_slots_.at(spec.service_);
  if (is_all_at_once && spec.count_ * spec.need_.slots_ > slots) {
    refuse(fmt::format("needs {} slots at once; the fleet has {}",
                       spec.count_ * spec.need_.slots_, slots));
  }
}

auto JobController::Submit(const Json::Value& request, Done done) -> void {
  const auto spec = JobSpec::FromJson(GetObject(request, "spec"));
  const auto home = RequireString(request, "home");
  if (!IsActiveHome(home) || !HasRights()) {
    Refuse(done, ErrorCode::kNotOwner,
           "the job's home shard is not active on this instance");
    return;
  }
  const auto known = jobs_.find(spec.id_);
  if (known != jobs_.end()) {
    if (known->second.job_.spec().ToJson() != spec.ToJson()) {
      Refuse(done, ErrorCode::kDuplicateId,
             "another job with this id was submitted before");
    } else if (known->second.mod_revision_ == 0) {
      known->second.pending_replies_.push_back(done);
    } else {
      done(kHttpOk, Describe(known->second));
    }
    return;
  }
  try {
    CheckRunnable(spec);
  } catch (const Error& e) {
    LogEvent(Event::kJobNeverRunnable,
             {{"job", spec.id_}, {"reason", e.what()}});
    throw;
  }
  Entry entry;
  entry.job_ = Job::Create(spec, home, WallMs());
  entry.job_.MarkDirty();
  entry.pending_replies_.push_back(done);
  jobs_.emplace(spec.id_, std::move(entry));
  WriteRecord(spec.id_);
}

auto JobController::Show(const std::string& id, Done done) -> void {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.mod_revision_ == 0) {
    Refuse(done, ErrorCode::kUnknownJob, "no job " + id);
    return;
  }
  done(kHttpOk, Describe(it->second));
}

auto JobController::List(const Json::Value& request, Done done) -> void {
  const auto team = GetString(request, "team", "");
  Json::Value body;
  body["jobs"] = Json::Value(Json::arrayValue);
  for (const auto& [id, entry] : jobs_) {
    const auto is_shown = team.empty() || entry.job_.spec().team_ == team;
    if (is_shown && entry.mod_revision_ != 0 &&
        body["jobs"].size() < kMaxListedJobs) {
      body["jobs"].append(Describe(entry));
    }
  }
  done(kHttpOk, body);
}

auto JobController::CancelJob(const std::string& id, const std::string& team,
                              Done done) -> void {
  const auto it = jobs_.find(id);
  const auto is_foreign = it != jobs_.end() && !team.empty() &&
                          it->second.job_.spec().team_ != team;
  if (it == jobs_.end() || is_foreign) {
    Refuse(done, ErrorCode::kUnknownJob, "no job " + id);
    return;
  }
  auto& entry = it->second;
  entry.job_.Cancel(WallMs());
  if (!entry.job_.is_dirty()) {
    done(kHttpOk, Describe(entry));
    return;
  }
  entry.pending_replies_.push_back(done);
  StopTasks(entry);
  WriteRecord(id);
}

auto JobController::Describe(const Entry& entry) const -> Json::Value {
  const auto& job = entry.job_;
  const auto counts = job.Counts();
  Json::Value out;
  out["job_id"] = job.spec().id_;
  out["team"] = job.spec().team_;
  out["service"] = job.spec().service_;
  out["kind"] = std::string(JobKindName(job.spec().kind_));
  out["state"] = std::string(JobStateName(job.state()));
  out["home"] = job.home();
  out["count"] = Json::Int64(job.spec().count_);
  out["pending"] = Json::Int64(counts.pending_ + counts.offered_);
  out["running"] = Json::Int64(counts.running_);
  out["done"] = Json::Int64(counts.done_);
  out["failed"] = Json::Int64(counts.failed_);
  out["cancelled"] = Json::Int64(counts.cancelled_);
  if (!job.reason().empty()) {
    out["reason"] = job.reason();
  }
  if (entry.is_recovering_) {
    out["recovering"] = true;
  }
  return out;
}

auto JobController::WriteRecord(const std::string& id) -> void {
  auto& entry = jobs_.at(id);
  const auto* home = view_->FindShard(entry.job_.home());
  if (entry.is_writing_ || home == nullptr ||
      home->owner_ != options_.self_id_) {
    return;
  }
  entry.is_writing_ = true;
  entry.job_.ClearDirty();
  const auto key = JobKey(id);
  const auto text = DumpJson(entry.job_.ToRecord());
  StoreTxn txn;
  txn.IfModRevision(key, entry.mod_revision_)
      .IfModRevision(ShardKey(entry.job_.home()), home->mod_revision_)
      .Put(key, text)
      .ElseGet(key);
  store_->Commit(txn, [this, id, text](const StoreResult& result) {
    OnRecordWritten(id, text, result);
  });
}

auto JobController::OnRecordWritten(const std::string& id,
                                    const std::string& written,
                                    const StoreResult& result) -> void {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  auto& entry = it->second;
  entry.is_writing_ = false;
  if (result.outcome_ != StoreOutcome::kAnswered) {
    // Tick() writes again. If this write did take effect, the condition on the
    // revision fails then, and the answer contains the record.
    entry.job_.MarkDirty();
    return;
  }
  if (!result.succeeded_) {
    const auto* stored = result.Find(JobKey(id));
    const auto is_own = stored != nullptr &&
                        (entry.mod_revision_ != 0 || stored->value_ == written);
    if (is_own) {
      // The record is from an earlier write of this controller whose answer was
      // lost.
      entry.mod_revision_ = stored->mod_revision_;
      entry.job_.MarkDirty();
    } else if (stored != nullptr) {
      const auto waiting = std::move(entry.pending_replies_);
      const auto home = ParseJson(stored->value_)["home"].asString();
      jobs_.erase(it);
      for (const auto& done : waiting) {
        Refuse(done, ErrorCode::kDuplicateId,
               "another job with this id was submitted before, in home shard " +
                   home);
      }
      return;
    } else {
      entry.job_.MarkDirty();
    }
    if (entry.mod_revision_ == 0 || entry.pending_replies_.empty()) {
      return;
    }
  } else {
    if (entry.mod_revision_ == 0) {
      LogEvent(Event::kJobAccepted,
               {{"job", id}, {"team", entry.job_.spec().team_}});
    }
    entry.mod_revision_ = result.revision_;
    if (entry.job_.state() != JobState::kActive && entry.job_.AllTasksEnded()) {
      LogEvent(Event::kJobEnded,
               {{"job", id},
                {"state", std::string(JobStateName(entry.job_.state()))}});
    }
  }
  const auto waiting = std::move(entry.pending_replies_);
  entry.pending_replies_.clear();
  const auto body = Describe(entry);
  for (const auto& done : waiting) {
    done(kHttpOk, body);
  }
}

auto JobController::ExpireEndedJobs(Millis now_wall) -> void {
  std::vector<std::string> expired;
  for (const auto& [id, entry] : jobs_) {
    const auto ended = entry.job_.ended_ms();
    if (ended != 0 && now_wall - ended > options_.retention_ms_) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    StoreTxn txn;
    txn.IfModRevision(JobKey(id), jobs_.at(id).mod_revision_)
        .Delete(JobKey(id));
    store_->Commit(txn, [](const StoreResult& /*result*/) {});
    jobs_.erase(id);
  }
}

auto JobController::OnTaskEvents(const Json::Value& params) -> Json::Value {
  const auto home = RequireString(params, "home");
  Json::Value answer;
  answer["recorded"] = Json::Value(Json::arrayValue);
  if (!IsActiveHome(home)) {
    throw Error(ErrorCode::kNotOwner,
                "shard " + home + " is not active on this instance");
  }
  for (const auto& item : GetArray(params, "events")) {
    const auto event = TaskEvent::FromJson(item);
    const auto key = event.ref_.Key();
    const auto it = jobs_.find(event.ref_.job_);
    if (it == jobs_.end()) {
      // The job ended and has been removed after its retention time.
      answer["recorded"].append(key);
      continue;
    }
    auto& entry = it->second;
    if (entry.is_recovering_ && event.kind_ != TaskEventKind::kStarted) {
      // The current attempt is not known yet. The executor sends the event
      // again.
      continue;
    }
    const auto is_handled = entry.job_.OnEvent(event, WallMs());
    if (entry.job_.is_dirty()) {
      WriteRecord(event.ref_.job_);
    }
    const auto is_recorded =
        is_handled && !entry.job_.is_dirty() && !entry.is_writing_;
    if (is_recorded && event.kind_ != TaskEventKind::kStarted) {
      answer["recorded"].append(key);
    }
  }
  return answer;
}

// Starts a reconciliation if a job needs one: every member is asked which tasks
// of the active home shards it has. The result is used only if every shard was
// open at its owner when asked and no shard changed its owner meanwhile;
// otherwise the reconciliation is repeated.
auto JobController::ReconcileIfNeeded(Millis now) -> void {
  const auto has_changed = view_->shard_changes() != seen_shard_changes_;
  if (has_changed) {
    // The previous owner of a shard may have lost a task without reporting it.
    seen_shard_changes_ = view_->shard_changes();
    for (auto& [id, entry] : jobs_) {
      entry.needs_reconciliation_ =
          entry.needs_reconciliation_ || !entry.job_.AllTasksEnded();
    }
  }
  const auto is_needed =
      std::any_of(jobs_.begin(), jobs_.end(), [](const auto& item) {
        return item.second.is_recovering_ || item.second.needs_reconciliation_;
      });
  if (is_needed && !reconciliation_.is_running_ &&
      now >= reconciliation_.next_start_ms_) {
    StartReconciliation(now);
  }
}

auto JobController::StartReconciliation(Millis now) -> void {
  const auto round = reconciliation_.round_ + 1;
  reconciliation_ = Reconciliation{};
  reconciliation_.round_ = round;
  reconciliation_.is_running_ = true;
  for (auto& [id, entry] : jobs_) {
    entry.reconcile_since_ = entry.job_.change_count();
  }
  reconciliation_.shard_changes_ = view_->shard_changes();
  reconciliation_.next_start_ms_ = now + kReconcileIntervalMs;
  Json::Value params;
  params["homes"] = Json::Value(Json::arrayValue);
  for (const auto& [shard, home] : homes_) {
    if (IsActiveHome(shard)) {
      Json::Value item;
      auto claim = MakeClaim(shard);
      claim.last_void_attempt_ =
          (home.epoch_ << kAttemptCounterBits) + home.attempt_count_;
      claim.AddTo(item);
      params["homes"].append(item);
    }
  }
  std::set<std::string> owners;
  for (const auto& [shard, record] : view_->shards()) {
    owners.insert(record.address_);
  }
  // Members that currently own no shard may still have queued tasks.
  for (const auto* state : members_->Listed()) {
    owners.insert(state->record_.address_);
  }
  reconciliation_.pending_answers_ = owners.size();
  for (const auto& address : owners) {
    link_->Call(address, kTasksOfHomes, params,
                [this, round, address](const PeerAnswer& answer) {
                  OnTasksReported(round, address, answer);
                });
  }
}

auto JobController::OnTasksReported(std::int64_t round,
                                    const std::string& /*member*/,
                                    const PeerAnswer& answer) -> void {
  if (round != reconciliation_.round_) {
    return;
  }
  reconciliation_.has_failed_ |= !answer.is_ok_;
  if (answer.is_ok_) {
    for (const auto& shard : answer.body_["open"]) {
      reconciliation_.open_shards_.insert(shard.asString());
    }
    const auto executor = GetString(answer.body_, "executor", "");
    for (const auto& item : GetArray(answer.body_, "tasks")) {
      Job::Report report;
      report.event_.ref_ = TaskRef::FromJson(GetObject(item, "ref"));
      report.event_.executor_ = executor;
      report.event_.worker_ = GetString(item, "worker", "");
      report.is_started_ = GetBool(item, "started", false);
      reconciliation_.reports_[report.event_.ref_.job_].push_back(report);
    }
  }
  if (--reconciliation_.pending_answers_ == 0) {
    FinishReconciliation();
  }
}

auto JobController::FinishReconciliation() -> void {
  reconciliation_.is_running_ = false;
  const auto is_covered = std::all_of(
      view_->shards().begin(), view_->shards().end(), [this](const auto& item) {
        return reconciliation_.open_shards_.contains(item.first);
      });
  if (reconciliation_.has_failed_ || !is_covered ||
      reconciliation_.shard_changes_ != view_->shard_changes()) {
    return;
  }
  for (auto& [id, entry] : jobs_) {
    const auto is_due = entry.is_recovering_ || entry.needs_reconciliation_;
    if (is_due && IsActiveHome(entry.job_.home())) {
      entry.is_recovering_ = false;
      entry.needs_reconciliation_ = false;
      entry.job_.Reconcile(reconciliation_.reports_[id], entry.reconcile_since_,
                           WallMs());
    }
  }
}

// Each deployment in the configuration is a service job. The owner of its home
// shard creates the job's record; from then on it is handled like any other
// job.
auto JobController::UpdateDeployments() -> void {
  for (const auto& [name, deployment] : configuration_.deployments_) {
    const auto spec = JobSpec::FromDeployment(deployment);
    const auto it = jobs_.find(spec.id_);
    if (it != jobs_.end()) {
      it->second.job_.Update(spec);
      continue;
    }
    const auto home =
        HomeShard(view_->ShardsOf(spec.service_), "job/" + spec.id_);
    if (!IsActiveHome(home)) {
      continue;
    }
    Entry entry;
    entry.job_ = Job::Create(spec, home, WallMs());
    entry.job_.MarkDirty();
    jobs_.emplace(spec.id_, std::move(entry));
  }
  constexpr std::string_view kDeployPrefix = "deploy.";
  for (auto& [id, entry] : jobs_) {
    const auto is_deployment = id.starts_with(kDeployPrefix);
    if (is_deployment && !configuration_.deployments_.contains(
                             id.substr(kDeployPrefix.size()))) {
      entry.job_.Cancel(WallMs());
    }
  }
}

auto JobController::Tick(Millis now) -> void {
  if (!HasRights()) {
    return;
  }
  for (const auto& [shard, home] : homes_) {
    if (!home.is_loaded_ && !home.is_loading_) {
      Load(shard);
    }
  }
  UpdateDeployments();
  ReconcileIfNeeded(now);
  CountOutstandingOffers();
  for (const auto& id : JobsByAge()) {
    auto& entry = jobs_.at(id);
    if (!IsActiveHome(entry.job_.home())) {
      continue;
    }
    if (entry.job_.is_dirty()) {
      WriteRecord(id);
    }
    if (entry.mod_revision_ == 0 || entry.is_recovering_) {
      continue;
    }
    StopTasks(entry);
    if (entry.job_.spec().kind_ == JobKind::kAllAtOnce) {
      AdvanceGang(entry, now);
    } else {
      OfferPending(entry, now);
    }
  }
  ExpireEndedJobs(WallMs());
}

}  // namespace lentilscale
