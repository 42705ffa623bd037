#include "framework/http/task_queue.h"

#include <QCoreApplication>
#include <QEvent>
#include <latch>
#include <utility>

namespace acacialug::http {

void TaskQueue::Post(std::function<void()> task) {
  const std::lock_guard guard(this->lock);
  this->tasks.push_back(std::move(task));
  if (this->tasks.size() == 1) {
    QCoreApplication::postEvent(this, new QEvent(QEvent::User));
  }
}

void TaskQueue::PostAndWait(const std::function<void()>& task) {
  std::latch done(1);
  this->Post([&] {
    task();
    done.count_down();
  });
  done.wait();
}

void TaskQueue::customEvent(QEvent* /*event*/) {
  std::vector<std::function<void()>> due;
  {
    const std::lock_guard guard(this->lock);
    due.swap(this->tasks);
  }
  for (const std::function<void()>& task : due) {
    task();
  }
}

}  // namespace acacialug::http
