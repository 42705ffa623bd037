#ifndef FRAMEWORK_HTTP_TASK_QUEUE_H_
#define FRAMEWORK_HTTP_TASK_QUEUE_H_

#include <QObject>
#include <functional>
#include <mutex>
#include <vector>

namespace acacialug::http {

// Runs tasks on the thread that the object lives on, in the order of posting.
// The tasks pass under a lock of our own and Qt only wakes the thread: Qt's
// locks are invisible to ThreadSanitizer, which then could not tell a task
// handed over in order from a race.
class TaskQueue : public QObject {
 public:
  // Thread safe. Tasks not run when the object is destroyed never run.
  void Post(std::function<void()> task);

  // As Post, and returns when the task has run. Not on the object's thread,
  // whose event loop must run.
  void PostAndWait(const std::function<void()>& task);

 protected:
  // NOLINTNEXTLINE(readability-identifier-naming): Qt's name
  void customEvent(QEvent* event) override;

 private:
  std::mutex lock;
  std::vector<std::function<void()>> tasks;  // guarded by `lock`
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_TASK_QUEUE_H_
