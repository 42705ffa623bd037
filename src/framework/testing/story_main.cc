#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <QCoreApplication>
#include <iostream>

int main(int argc, char** argv) {
  qputenv("QT_NO_GLIB", "1");  // the event loop that the programs use
  QCoreApplication application(argc, argv);
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller);
  CppUnit::CompilerOutputter(&collector, std::cout).write();
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed
            << " failed" << std::endl;
  // A program that ran nothing proves nothing: it must not pass.
  return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
